//! Ids that programs make.

use {
    crate::{BackendName, ProcessContext, RandomSource, RegionName, WallMillis},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
    uuid::Uuid,
};

/// Makes a version 7 UUID (RFC 9562) from the context's wall clock and random source.
fn uuid_v7(wall: WallMillis, random: &dyn RandomSource) -> Uuid {
    let mut bytes = [0_u8; 10];
    bytes[..8].copy_from_slice(&random.next_u64().to_le_bytes());
    bytes[8..].copy_from_slice(&random.next_u64().to_le_bytes()[..2]);
    uuid::Builder::from_unix_timestamp_millis(wall.0, &bytes).into_uuid()
}

/// The time in a version 7 UUID.
fn uuid_millis(uuid: Uuid) -> Option<WallMillis> {
    let (seconds, nanos) = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7)?.to_unix();
    Some(WallMillis(seconds * 1_000 + u64::from(nanos) / 1_000_000))
}

/// One request of a caller, the same at every hop.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(Uuid);

impl RequestId {
    /// A new id.
    pub fn new(context: &ProcessContext) -> Self {
        Self(uuid_v7(context.clock.wall(), &*context.random))
    }

    /// Whether `text` ends in this id as it is displayed. Asked for each event of a stream, so it
    /// allocates nothing.
    pub fn ends(&self, text: &str) -> bool {
        let mut buffer = Uuid::encode_buffer();
        text.ends_with(&*self.0.hyphenated().encode_lower(&mut buffer))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestId({})", self.0)
    }
}

impl FromStr for RequestId {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        Uuid::from_str(text).map(Self).map_err(|_| KeyError::NotUuid { text: text.to_owned() })
    }
}

/// One run of a backend server: a restarted server announces a higher one (milliseconds of its
/// start, or any number that only grows).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of a backend server, from its start to its end. What is known of an earlier run of its
/// name says nothing of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendRun {
    /// The backend server.
    pub backend: BackendName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// The most bytes of a key or change id.
const MAX_KEY_BYTES: usize = 128;

/// Why a text is not a key or an id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is empty, too long or holds a character outside printable ASCII.
    #[snafu(display(
        "{text:?} is not a key: give 1 to {MAX_KEY_BYTES} printable ASCII characters"
    ))]
    NotPrintable {
        /// The text given, cut to the bound.
        text: String,
    },
    /// The text is not a UUID.
    #[snafu(display("{text:?} is not a UUID; take one from `gladectl key new`"))]
    NotUuid {
        /// The text given.
        text: String,
    },
}

fn check_key(text: &str) -> Result<(), KeyError> {
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    if printable && !text.is_empty() && text.len() <= MAX_KEY_BYTES {
        return Ok(());
    }
    Err(KeyError::NotPrintable { text: text.chars().take(MAX_KEY_BYTES).collect() })
}

/// The id an operator gives one change of configuration; a resend carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

impl ChangeId {
    /// A new id, for an operator who gave none.
    pub fn new(context: &ProcessContext) -> Self {
        Self(uuid_v7(context.clock.wall(), &*context.random).to_string())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// When the id was made, where it is a version 7 UUID and so says it.
    pub fn made(&self) -> Option<WallMillis> {
        Uuid::from_str(&self.0).ok().and_then(uuid_millis)
    }
}

impl TryFrom<String> for ChangeId {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        check_key(&text).map(|()| Self(text))
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> String {
        id.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The key under which a non-idempotent request runs at most once.
///
/// `{region}.{uuid v7}` names the claim region and the time of its making; any other printable
/// text is opaque and belongs to the service's claim region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OrderKey(String);

impl OrderKey {
    /// A new key whose claims are decided in `region`.
    pub fn new(region: &RegionName, context: &ProcessContext) -> Self {
        Self(format!("{region}.{}", uuid_v7(context.clock.wall(), &*context.random)))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The claim region and the time of making, where the key names them.
    pub fn origin(&self) -> Option<(RegionName, WallMillis)> {
        let (region, id) = self.0.rsplit_once('.')?;
        let made = uuid_millis(Uuid::from_str(id).ok()?)?;
        Some((RegionName::try_from(region).ok()?, made))
    }
}

impl TryFrom<String> for OrderKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        check_key(&text).map(|()| Self(text))
    }
}

impl From<OrderKey> for String {
    fn from(key: OrderKey) -> String {
        key.0
    }
}

impl fmt::Display for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

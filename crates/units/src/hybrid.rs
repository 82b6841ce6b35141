//! The hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014): stamps close to
//! wall time that nevertheless order every cause before its effect.

use {
    crate::WallMillis,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{cell::Cell, fmt, str::FromStr},
};

/// One stamp. Orders by wall time, then by counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridStamp {
    /// The highest wall time known when the stamp was made, milliseconds.
    pub wall: WallMillis,
    /// Orders stamps of the same wall time.
    pub counter: u32,
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall.0, self.counter)
    }
}

/// A text is not a stamp.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a stamp; write milliseconds.counter, as log lines do"))]
pub struct StampError {
    /// The text given.
    text: String,
}

impl FromStr for HybridStamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, StampError> {
        let read = || {
            let (wall, counter) = text.split_once('.')?;
            Some(Self { wall: WallMillis(wall.parse().ok()?), counter: counter.parse().ok()? })
        };
        read().ok_or_else(|| StampError { text: text.to_owned() })
    }
}

/// The clock of one process. A message carries the sender's stamp and the receiver
/// [`observe`](Self::observe)s it, so that whatever the receiver does next is stamped later even
/// where its wall clock is seconds behind.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Cell<HybridStamp>,
}

impl HybridClock {
    /// A stamp later than every one made or observed here before.
    pub fn stamp(&self, wall: WallMillis) -> HybridStamp {
        let last = self.last.get();
        let stamp =
            if wall > last.wall { HybridStamp { wall, counter: 0 } } else { next_after(last) };
        self.last.set(stamp);
        stamp
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&self, stamp: HybridStamp) {
        self.last.set(self.last.get().max(stamp));
    }
}

fn next_after(stamp: HybridStamp) -> HybridStamp {
    match stamp.counter.checked_add(1) {
        Some(counter) => HybridStamp { wall: stamp.wall, counter },
        None => HybridStamp { wall: WallMillis(stamp.wall.0 + 1), counter: 0 },
    }
}

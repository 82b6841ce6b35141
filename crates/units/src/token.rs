//! Hashes of bearer tokens and keys: what is kept and compared is never the secret itself.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::{self, Write},
};

/// The SHA-256 of a bearer token, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// The hash of `token`.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl TryFrom<String> for TokenHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let refusal = || {
            "a token hash is 64 hexadecimal digits: the SHA-256 of the token, as \
             `gladectl key token` prints it"
                .to_owned()
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(refusal());
        }
        let mut bytes = [0_u8; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(pair).map_err(|_| refusal())?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| refusal())?;
        }
        Ok(Self(bytes))
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> String {
        hash.to_string()
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for TokenHash {
    /// Shows only the first digits, so that a log of a document is no list of hashes to attack.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash(")?;
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        f.write_char('…')?;
        f.write_char(')')
    }
}

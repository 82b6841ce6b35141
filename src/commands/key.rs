//! `gladectl key`: keys for non-idempotent requests, and tokens with their hashes.

use {
    super::output::write_out,
    bpaf::{Parser, construct, long},
    gullglade_document::TokenHash,
    gullglade_units::{OrderKey, ProcessContext, RandomSource, RegionName, SeededRandom},
    std::process::ExitCode,
};

/// What kind of key to make.
#[derive(Debug, Clone)]
pub enum KeyCommand {
    /// A key for the `idempotency-key` header.
    New {
        /// The region that decides claims on it.
        region: RegionName,
    },
    /// A bearer token and the hash that a document lists.
    Token,
}

/// The parser of `gladectl key`.
pub(super) fn key_parser() -> impl Parser<KeyCommand> {
    let region = long("region")
        .help("Region that decides claims on the key: the caller's own")
        .argument::<RegionName>("REGION");
    let new = construct!(KeyCommand::New { region })
        .to_options()
        .descr("Print a key under which a non-idempotent request runs at most once")
        .command("new");
    let token = bpaf::pure(KeyCommand::Token)
        .to_options()
        .descr("Print a new bearer token, then the hash to list in a document")
        .command("token");
    construct!([new, token]).to_options().descr("Make keys and tokens").command("key")
}

impl KeyCommand {
    /// Prints the key.
    pub fn run(self) -> ExitCode {
        match self {
            Self::New { region } => {
                println!("{}", OrderKey::new(&region, &ProcessContext::system()))
            }
            Self::Token => print_token(),
        }
        ExitCode::SUCCESS
    }
}

fn print_token() {
    let random = SeededRandom::from_system();
    let token: String = (0..4).map(|_| format!("{:016x}", random.next_u64())).collect();
    write_out(&format!("token  {token}\nsha256 {}\n", TokenHash::of(&token)));
}

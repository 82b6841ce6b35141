//! Requests that end the backend servers that run them.
//!
//! The load pattern: one caller's request crashes every engine that begins to run it. The caller is
//! told that it failed and sends it again, under a new id and through any gateway, and each of
//! these sends ends another engine with all the requests that it runs, until most engines are
//! restarting. Limits on the attempts of one id do not see it.
//!
//! So requests are told by what they are ([`ContentFingerprint`]) and counted over the fleet
//! ([`CrashTracker`]): each gateway notes under which request a backend server's connection broke
//! and tells the control processes, which tell all gateways of every request under which two or
//! more have ended ([`CrashUpdate`]). After the third the request is held back everywhere.
//!
//! # By what evidence the cause is told from a bystander
//!
//! A backend server runs dozens of requests at once, and when it ends all of them end.
//!
//! - *How many different runs ended.* A bystander is on one that ends by chance; it takes three,
//!   none of them answered in between, and each answer takes one end back.
//! - *What else ended beside it.* One end has one cause. What the request with the most ends
//!   explains speaks against no other, so bystanders of a request that is held back are let go as
//!   soon as that is known.
//! - *Overlapping sends that end close together* count as one: a failure domain that is lost takes all sends of a request
//!   that many callers make at once.
//! - *Whether the run ended at all.* A reset connection or a cut link looks like an end. A run that
//!   answers a request sent a second later had not ended, and that is told, too.
//! - *What says nothing*: an attempt whose caller left, one that was turned away or never reached
//!   its backend server, and one without an answer in time; a silent run is slow, hung or cut off
//!   far more often than crashed by what it was sent.
//!
//! A cause that is missed ends one more backend server each time. A bystander that is held back
//! gets a failure that says so, for ten minutes at most; then it is tried again.

mod fingerprint;
mod record;
mod settings;
mod shared;
mod signed_time;
mod tracker;
mod update;

pub use {
    fingerprint::{ContentFingerprint, FingerprintError, FingerprintKey, RequestContent},
    settings::{CrashTrackerSettings, CrashTrackerSettingsError, RawCrashTrackerSettings},
    shared::SharedCrashTracker,
    tracker::{CrashTracker, RequestHold, UpdateScope},
    update::{CrashReport, CrashUpdate, RunAliveReport, SendEnd, SendReport},
};

//! Detection of poison requests and poison prompt parts, which crash the backend servers that run
//! them.
//!
//! Failure scenario: a request of one caller crashes every engine that starts to run it. The caller
//! gets an error and retries under a new id through any gateway, and each retry crashes another
//! engine with all the requests on it, until most engines are restarting. Limits on the attempts
//! per id do not detect this.
//!
//! Requests are therefore identified by their content ([`ContentFingerprint`]) and their crashes
//! are counted across the fleet ([`CrashTracker`]). Each gateway records the requests that were
//! running when the connection to a backend server broke, and reports them to the control
//! processes, which inform all gateways of every request with two or more crashes
//! ([`CrashUpdate`]). After the third crash, all gateways hold the request.
//!
//! # Prompt parts
//!
//! Failure scenario: one part of a prompt crashes every engine that begins to answer a request with
//! it. Requests with the part have nothing else in common, so each content crashes once.
//!
//! Each part of a prompt that other requests may share is therefore tracked as well
//! ([`PartFingerprint`]): the runs that crashed before they had begun to answer a request with the
//! part, and the answers that began in between. It differs from the tracking of contents as
//! follows:
//!
//! - *An answer that has begun* clears the parts of its request, since an engine that a part crashes
//!   does not begin the answer. Most parts of crashed requests are answered elsewhere all the time.
//! - *Crashes count once for each content.* A request that is repeated is held itself, not the parts
//!   of its prompt.
//! - *A part that was answered before its first crash* takes twice as many crashes, as it can be
//!   the cause only if the engines have changed. Each process remembers the parts it saw answered.
//! - *Of parts with the same crashes* none is held until the next crash tells them apart.
//!
//! # Telling the cause from unrelated requests
//!
//! A backend server runs dozens of requests at once, and all of them fail when it crashes. The
//! evidence is weighed as follows:
//!
//! - *Number of distinct runs that crashed.* An unrelated request is on a crashing run by chance. A
//!   hold takes three crashes, and each answer in between cancels one.
//! - *Other requests on the same runs.* A crash has one cause. Crashes that are explained by the
//!   request with the most crashes do not count against others, so unrelated requests are released
//!   as soon as the cause is held.
//! - *Overlapping sends that fail at about the same time* count as one crash: the loss of a failure
//!   domain interrupts all sends of a request that many callers make at once.
//! - *Whether the run crashed at all.* A reset connection or a broken link looks like a crash. A
//!   run that answers a request sent a second later did not crash, and this is reported too.
//! - *No evidence* are an attempt whose caller disconnected, one that was refused or never reached
//!   its backend server, and one that timed out: a silent run is far more often slow, hung or
//!   disconnected than crashed by the request.
//!
//! Each retry of an undetected cause costs one more backend server. An unrelated request that is
//! held gets an error that says so for ten minutes at most; then one gateway after the other may
//! send it once, until enough answers have come or another backend server has crashed.

mod answer_memory;
mod fingerprint;
mod part_fingerprint;
mod part_record;
mod probe;
mod record;
mod settings;
mod shared;
mod signed_time;
mod tracker;
mod update;

pub use {
    fingerprint::{ContentFingerprint, FingerprintError, FingerprintKey, RequestContent},
    part_fingerprint::{CrashSuspect, PartFingerprint},
    settings::{CrashTrackerSettings, CrashTrackerSettingsError, RawCrashTrackerSettings},
    shared::{SharedCrashTracker, SuspectState},
    tracker::{CrashTracker, RequestHold, UpdateScope},
    update::{CrashReport, CrashUpdate, RunAliveReport, SendEnd, SendReport},
};

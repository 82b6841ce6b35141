//! Requests that pass through unchanged.
//!
//! A [`Proxy`] takes a request of any method, path and body ([`CallerRequest`]), finds its route in
//! the traffic configuration in force, has it placed by a [`Dispatcher`], and relays the answer.
//! What backend servers are told and say beside the request itself is up to a [`BackendDialect`].
//!
//! One journey serves every kind of request. It asks for a place, sends, and looks at what came
//! back: an answer, the certainty that the request did not run, or neither. Only what did not run,
//! or may run again, is sent again. Work for another region goes to a gateway there
//! ([`ForwardServer`]), which makes exactly one attempt and sends it nowhere else, so all repeats
//! are decided, and counted, in one place.

mod access;
mod answer;
mod arrival;
mod attempt;
mod call;
mod call_print;
mod dialect;
mod dispatcher;
mod events;
mod forward;
mod forward_server;
mod handover;
mod hints;
mod journey;
mod liveness;
mod notice;
mod outcome;
mod proxy;
mod quota;
mod relay;
mod replacement;
mod reservation;
mod search;
mod send_watch;
mod starting;
mod unread_headers;

pub use {
    call::{CallerRequest, CallerRequestId, CallerRequestIdError},
    dialect::{BackendDialect, RequestMetadata, ResponseMetadata},
    dispatcher::Dispatcher,
    forward_server::ForwardServer,
    proxy::{Proxy, ProxyParts},
};

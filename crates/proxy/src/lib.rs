//! Reverse proxy that routes callers' requests, places them on backend servers, forwards them to
//! other gateways and relays the responses.
//!
//! A [`Proxy`] takes a request of any method, path and body ([`CallerRequest`]), finds its route in
//! the traffic configuration in force, has it placed by a [`Dispatcher`], and relays the response.
//! The headers that backend servers get and send in addition to the request itself are defined by a
//! [`BackendDialect`].
//!
//! All kinds of requests take the same path: wait for a place, send, and classify the outcome as a
//! response, as certainly not run, or as unknown. A run is one execution of a request by a backend
//! server. A request is sent again only if it certainly did not run or is safe to run again. Work
//! for another region goes to a gateway there ([`ForwardServer`]), which makes exactly one attempt
//! and never forwards it, so all retries are decided and counted at the gateway that received the
//! request.

mod access;
mod attempt;
mod caller_request;
mod compact_hints;
mod configuration_gate;
mod dialect;
mod dispatcher;
mod events;
mod exchange_log;
mod execution;
mod forward;
mod forward_message;
mod forward_server;
mod gateway_choice;
mod handover;
mod health_check;
mod hint_batching;
mod hints;
mod liveness;
mod notice;
mod outcome;
mod proxy;
mod quota;
mod relay;
mod relayed_replies;
mod replacement;
mod request_fingerprint;
mod reservation;
mod response;
mod search;
mod send_monitor;
mod send_tracker;
mod unread_headers;

pub use {
    caller_request::{CallerRequest, CallerRequestId, CallerRequestIdError},
    compact_hints::RunDirectory,
    dialect::{BackendDialect, RequestMetadata, ResponseMetadata},
    dispatcher::Dispatcher,
    forward_server::ForwardServer,
    gateway_choice::{GatewayOption, choose_gateways},
    hint_batching::batch_delay,
    hints::{decode_notice, encode_notices},
    proxy::{Proxy, ProxyParts, RouteLookup},
};

//! A stand-in plain service: an order book whose orders may not be placed twice.

mod book;
mod config;
mod handler;
mod stub_service;

pub use {
    book::{OrderBook, PlacedOrder},
    config::ServiceConfig,
    stub_service::{ServiceHandle, StubService},
};

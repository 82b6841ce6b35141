//! The orders that were placed.

use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// One order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedOrder {
    /// Its number in this book, from 1.
    pub number: u64,
    /// The key it was placed under, if any.
    pub key: Option<String>,
    /// What was ordered.
    pub order: Value,
}

/// All orders of one stand-in, in the order of placing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderBook {
    /// The orders.
    pub orders: Vec<PlacedOrder>,
}

impl OrderBook {
    /// Places an order. Every call places one, under whatever key: it is the system's work that
    /// there is only one call.
    pub fn place(&mut self, key: Option<&str>, order: Value) -> PlacedOrder {
        let number = self.orders.len() as u64 + 1;
        let placed = PlacedOrder { number, key: key.map(str::to_owned), order };
        self.orders.push(placed.clone());
        placed
    }

    /// The order with this number.
    pub fn find(&self, number: u64) -> Option<&PlacedOrder> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        self.orders.get(index)
    }
}

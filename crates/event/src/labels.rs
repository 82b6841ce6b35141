//! Bounded cardinality of metric labels.

use std::{cell::RefCell, collections::HashSet};

/// Label value that replaces every value beyond the limit.
pub(crate) const OTHER: &str = "other";

/// Limits the number of distinct values of one label; further values become `other`.
///
/// Each label value costs a time series that is never removed, in the process and in the operators'
/// metrics database. Without a limit, a team that deploys a model under a new name every hour, or a
/// caller that can choose a label value, would grow both until scrapes time out.
#[derive(Debug)]
pub struct LabelGuard {
    limit: usize,
    admitted: RefCell<HashSet<Box<str>>>,
}

impl LabelGuard {
    /// Creates a guard that admits the first `limit` distinct values.
    pub fn new(limit: usize) -> Self {
        Self { limit, admitted: RefCell::default() }
    }

    /// Returns `value`, or `other` if the limit is reached and `value` has not been admitted
    /// before.
    pub fn admit<'a>(&self, value: &'a str) -> &'a str {
        let mut admitted = self.admitted.borrow_mut();
        if admitted.contains(value) {
            return value;
        }
        if admitted.len() >= self.limit {
            return OTHER;
        }
        admitted.insert(Box::from(value));
        value
    }
}

//! Accounting of the memory budget for request bodies.

use super::MemoryBudget;

#[test]
fn releases_a_cloned_reservation_once() {
    let budget = MemoryBudget::new(100);
    let reservation = budget.reserve(80).unwrap();
    assert!(budget.reserve(21).is_none());
    let reservation = reservation.shrink(30);
    let clone_of_reservation = reservation.clone();
    let other = budget.reserve(70).unwrap();
    assert!(budget.reserve(1).is_none());
    drop(reservation);
    assert!(budget.reserve(1).is_none(), "a clone still holds the reservation");
    drop(clone_of_reservation);
    drop(other);
    assert!(budget.reserve(100).is_some());
}

#[test]
fn oversized_body_does_not_release_extra_memory() {
    let budget = MemoryBudget::new(10);
    let reservation = budget.reserve(4).unwrap().shrink(9);
    assert!(budget.reserve(7).is_none());
    drop(reservation);
    assert!(budget.reserve(10).is_some());
}

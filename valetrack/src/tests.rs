//! Tests of what no slice owns alone: codes and their page.

use std::collections::BTreeSet;

use crate::code::{self, ALL};

#[test]
fn codes_are_unique_and_ascend() {
    let numbers: Vec<u16> = ALL.iter().map(|code| code.number()).collect();
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.into_iter().collect::<Vec<_>>(), numbers);
}

#[test]
fn the_page_of_codes_lists_each_as_it_is() {
    let page = include_str!("../../docs/CODES.md");
    assert!(page.contains(&code::table()), "docs/CODES.md should hold:\n{}", code::table());
}

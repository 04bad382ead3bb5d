use super::*;

#[test]
fn the_oldest_name_is_replaced() {
    let mut names = RecentNames::new(2);
    for name in ["a", "b", "c"] {
        names.insert(name);
    }
    assert!(!names.contains("a"));
    assert!(names.contains("b") && names.contains("c"));
}

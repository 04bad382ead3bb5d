use super::*;

#[test]
fn built_in_scenarios_are_valid_and_invalid_ones_are_rejected() {
    for (name, text) in ALL {
        let scenario = read(name, text).expect("a built-in scenario is valid");
        assert!(!scenario.about.is_empty());
    }
    assert!(read("x", "about = \"x\"\nseconds = 5\nengins { count = 1 }\n").is_err());
    assert!(read(
        "x",
        "about = \"x\"\nseconds = 5\nfault \"a\" { what = \"stop\"\n share = 2\n from = 0\n }\n"
    )
    .is_err());
    assert!(read("x", "about = \"x\"\nseconds = 5000\n").is_err());
}

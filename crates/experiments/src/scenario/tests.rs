use super::*;

#[test]
fn scenarios_are_read_and_a_wrong_one_is_not() {
    for (name, text) in ALL {
        let scenario = read(name, text).expect("it can be read");
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

use super::*;

#[test]
fn the_peak_stays_after_bytes_are_removed() {
    let memory = UsedMemory::default();
    memory.update(30, 0);
    memory.update(5, 25);
    assert_eq!((memory.bytes(), memory.peak()), (10, 30));
}

use super::*;
use rstest::rstest;

#[rstest]
#[case("select a from sales_17.orders", Some(17))]
#[case("SELECT a FROM `sales_4`.orders o JOIN staging.x_9 ON 1", Some(4))]
#[case("insert into staging.tmp_3 select * from big_zone_12.t", Some(12))]
#[case("select 'x_1.y', \"a\" -- from x_2.y\n from x_3.y", Some(3))]
#[case("/* x_1.y */ select 'it''s x_2.y \\' x_4.z' from x_5.y", Some(5))]
#[case("select o_9.a from sales_17.orders o_9", Some(17))]
#[case("select 1 from a, sales_6.orders", Some(6))]
#[case("select t.a_1 from plain", None)]
#[case("select 'x_1.y", None)]
#[case("/* x_1.y", None)]
#[case("", None)]
fn table_group_is_found(#[case] statement: &str, #[case] group: Option<u64>) {
    assert_eq!(table_group(statement.as_bytes()), group);
}

#[rstest]
#[case("-- load\n (INSERT into x", Some("insert"))]
#[case("  ", None)]
fn first_word_is_lower_case(#[case] statement: &str, #[case] word: Option<&str>) {
    assert_eq!(first_word(statement.as_bytes()).as_deref(), word);
}

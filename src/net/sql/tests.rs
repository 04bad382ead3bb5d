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

/// Statements of 1 MB used to be parsed to their end on the thread of the event loop, which delayed the answers to all clients.
#[test]
fn only_the_beginning_of_a_long_statement_is_parsed() {
    let statement = |words: usize| format!("{}from sales_17.orders", "a ".repeat(words)).into_bytes();
    assert_eq!(table_group(&statement(MAX_PARSED_BYTES / 4)), Some(17));
    assert_eq!(table_group(&statement(MAX_PARSED_BYTES)), None);
    let comment = "x".repeat(MAX_PARSED_BYTES);
    assert_eq!(first_word(format!("/*{comment}*/ select 1").as_bytes()), None);
    // A character may be cut at the limit.
    assert_eq!(table_group("\u{e9}".repeat(MAX_PARSED_BYTES).as_bytes()), None);
}

#[rstest]
#[case("select x_1.y from a join sales_2.b on 1", Some(2))]
#[case("select x_1.y, z_2.y from a", Some(1))]
#[case("select a.x_1.y from b", None)]
fn table_after_a_keyword_takes_precedence(#[case] statement: &str, #[case] group: Option<u64>) {
    assert_eq!(table_group(statement.as_bytes()), group);
}

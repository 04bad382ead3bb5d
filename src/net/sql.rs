//! Splits a SQL statement into words, skipping string literals and comments. That suffices to find the tables that the
//! statement names.

use winnow::combinator::{alt, opt, preceded, repeat};
use winnow::prelude::*;
use winnow::token::{any, one_of, take_till, take_until, take_while};

/// Keywords that are followed by the name of a table.
const WORDS_BEFORE_TABLE: [&str; 6] = ["from", "join", "into", "update", "table", "only"];

#[derive(Debug, Clone, PartialEq)]
enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

fn quoted<'a>(quote: char) -> impl FnMut(&mut &'a str) -> Result<&'a str, winnow::error::EmptyError> {
    move |input: &mut &'a str| {
        let start = *input;
        one_of(quote).parse_next(input)?;
        loop {
            take_till(0.., |c| c == quote || c == '\\').parse_next(input)?;
            match input.chars().next() {
                // A literal that is not terminated extends to the end of the statement.
                None => return Ok(&start[1..]),
                Some('\\') => {
                    any.parse_next(input)?;
                    opt(any).parse_next(input)?;
                }
                Some(_) => {
                    any.parse_next(input)?;
                    if opt(one_of(quote)).parse_next(input)?.is_none() {
                        return Ok(&start[1..start.len() - input.len() - 1]);
                    }
                }
            }
        }
    }
}

fn token<'a>(input: &mut &'a str) -> Result<Token<'a>, winnow::error::EmptyError> {
    let in_word = |character: char| character.is_alphanumeric() || character == '_' || character == '$';
    alt((
        preceded("--", take_till(0.., '\n')).value(Token::Other),
        ("/*", alt(((take_until(0.., "*/"), "*/").void(), take_while(0.., |_| true).void())))
            .value(Token::Other),
        quoted('\'').value(Token::Other),
        quoted('"').map(Token::Word),
        quoted('`').map(Token::Word),
        take_while(1.., in_word).map(Token::Word),
        '.'.value(Token::Dot),
        take_while(1.., char::is_whitespace).value(Token::Other),
        any.value(Token::Other),
    ))
    .parse_next(input)
}

fn tokens(statement: &str) -> Vec<Token<'_>> {
    let mut rest = statement;
    repeat(0.., token).parse_next(&mut rest).unwrap_or_default()
}

/// Returns the number after the last underscore in the name of the first schema that has one: 17 in `sales_17.orders`. Names
/// that follow a keyword for a table take precedence over others, as an alias may look like a schema. The schema `staging` is
/// ignored.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(statement);
    let tokens: Vec<_> = tokens(&text).into_iter().filter(|token| *token != Token::Other).collect();
    let group = |index: usize| match (&tokens[index], tokens.get(index + 1)) {
        (Token::Word(schema), Some(Token::Dot)) if !schema.eq_ignore_ascii_case("staging") => {
            schema.rsplit_once('_').and_then(|(_, number)| number.parse().ok())
        }
        _ => None,
    };
    let previous = |index: usize| index.checked_sub(1).map(|previous| &tokens[previous]);
    let is_table = |index: &usize| match previous(*index) {
        Some(Token::Word(word)) => {
            WORDS_BEFORE_TABLE.iter().any(|keyword| keyword.eq_ignore_ascii_case(word))
        }
        _ => false,
    };
    let is_first_part = |index: &usize| previous(*index) != Some(&Token::Dot);
    let all = 0..tokens.len();
    all.clone().filter(is_table).find_map(group).or_else(|| all.filter(is_first_part).find_map(group))
}

/// Returns the first word of a statement in lower case. Comments, string literals and punctuation before it are skipped.
pub fn first_word(statement: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(statement);
    tokens(&text).into_iter().find_map(|token| match token {
        Token::Word(word) => Some(word.to_ascii_lowercase()),
        _ => None,
    })
}

#[cfg(test)]
mod tests;

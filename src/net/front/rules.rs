//! Assignment of statements to classes by the operator's rules.

use crate::interface::{ClassId, Settings};
use crate::net::sql::first_word;
use crate::simulator::{Fields, LineError};

/// One rule. A statement matches if both its first word and its user match.
#[derive(Debug, Clone, PartialEq)]
struct Rule {
    class: ClassId,
    /// First words of matching statements, in lower case; if empty, every statement matches.
    verbs: Vec<String>,
    /// Matching users; if empty, every user matches.
    users: Vec<String>,
}

impl Rule {
    fn read(fields: &Fields, index: usize, settings: &Settings) -> Result<Self, LineError> {
        let path = |name: &str| format!("clickhouse.rules.{index}.{name}");
        let list =
            |name: &str| fields.list(&path(name)).iter().map(|&item| item.to_owned()).collect::<Vec<_>>();
        let class_name = fields.text(&path("class"))?;
        let class = settings.classes.iter().position(|class| class.name == class_name);
        let class = class.ok_or_else(|| fields.invalid(&path("class"), "is not in the settings"))?;
        Ok(Self {
            class: ClassId(class),
            verbs: list("verbs").iter().map(|verb| verb.to_ascii_lowercase()).collect(),
            users: list("users"),
        })
    }

    fn matches(&self, verb: &str, user: &str) -> bool {
        let list_matches =
            |list: &[String], item: &str| list.is_empty() || list.iter().any(|known| known == item);
        list_matches(&self.verbs, verb) && list_matches(&self.users, user)
    }

    fn matches_all(&self) -> bool {
        self.verbs.is_empty() && self.users.is_empty()
    }
}

/// Rules in the order of the settings. The first matching rule determines the class; the last one matches all statements.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRules(Vec<Rule>);

impl ClassRules {
    /// Reads the rules from the fields `clickhouse.rules.*`.
    ///
    /// # Errors
    /// The class of a rule is missing or not in the settings, or the last rule does not match all statements.
    pub fn read(fields: &Fields, settings: &Settings) -> Result<Self, LineError> {
        let count = fields.number_or("clickhouse.rules.count", 0.0)? as usize;
        let rules = (0..count).map(|index| Rule::read(fields, index, settings));
        let rules = rules.collect::<Result<Vec<_>, _>>()?;
        if !rules.last().is_some_and(Rule::matches_all) {
            return Err(fields.invalid("clickhouse.rules.count", "must end with a rule for all statements"));
        }
        Ok(Self(rules))
    }

    /// Returns the class of a statement that is sent by `user`.
    pub fn class(&self, statement: &[u8], user: &str) -> ClassId {
        let verb = first_word(statement).unwrap_or_default();
        self.0.iter().find(|rule| rule.matches(&verb, user)).map_or(ClassId(0), |rule| rule.class)
    }
}

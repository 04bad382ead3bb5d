//! Which class a statement belongs to, by the operator's rules.

use crate::interface::{ClassId, Settings};
use crate::net::sql::first_word;
use crate::simulator::{Fields, LineError};

/// One rule: all that it names must hold.
#[derive(Debug, Clone, PartialEq)]
struct Rule {
    class: ClassId,
    verbs: Vec<String>,
    users: Vec<String>,
}

/// Rules, the first that holds decides.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRules(Vec<Rule>);

impl ClassRules {
    /// Reads `clickhouse.rules`. The last rule must hold for all.
    ///
    /// # Errors
    /// A rule names no class of the settings, or statements are left that no rule holds for.
    pub fn read(f: &Fields, settings: &Settings) -> Result<Self, LineError> {
        let count = f.number_or("clickhouse.rules.count", 0.0)? as usize;
        let mut rules = Vec::new();
        for i in 0..count {
            let path = |name: &str| format!("clickhouse.rules.{i}.{name}");
            let class = f.text(&path("class"))?;
            let class = settings.classes.iter().position(|c| c.name == class);
            let list = |name: &str| f.list(&path(name)).iter().map(|s| (*s).to_owned()).collect::<Vec<_>>();
            rules.push(Rule {
                class: ClassId(class.ok_or_else(|| f.bad(&path("class"), "is not in the settings"))?),
                verbs: list("verbs").iter().map(|v| v.to_ascii_lowercase()).collect(),
                users: list("users"),
            });
        }
        if rules.last().is_none_or(|r| !r.verbs.is_empty() || !r.users.is_empty()) {
            return Err(f.bad("clickhouse.rules.count", "must end with a rule for all statements"));
        }
        Ok(Self(rules))
    }

    /// The class of a statement of that user.
    pub fn class(&self, statement: &[u8], user: &str) -> ClassId {
        let word = first_word(statement).unwrap_or_default();
        let holds = |r: &&Rule| {
            (r.verbs.is_empty() || r.verbs.contains(&word))
                && (r.users.is_empty() || r.users.iter().any(|u| u == user))
        };
        // The last rule holds for all.
        self.0.iter().find(holds).map_or(ClassId(0), |r| r.class)
    }
}

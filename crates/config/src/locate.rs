//! Finds the line and column of a value in a YAML text.
//!
//! The parser reports locations only in errors. So the text is parsed a second time along the path to the value, and
//! an error is raised on purpose when the parser reaches the value.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_yaml_ng::Location;

/// One element of the path to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The value of this key of a map.
    Key(String),
    /// The value of the only key of a map.
    OnlyKey,
    /// The element of a list at this index, from 0.
    Index(usize),
}

/// The location of the value at `path`, or of the innermost enclosing value that exists.
pub(crate) fn locate(text: &str, path: &[Step]) -> Option<Location> {
    let mut lengths = (0..=path.len()).rev();
    lengths.find_map(|length| locate_exact(text, &path[..length]))
}

/// The location of the value at `path`, or none if there is no such value.
pub(crate) fn locate_exact(text: &str, path: &[Step]) -> Option<Location> {
    let parsed = Locator(path).deserialize(serde_yaml_ng::Deserializer::from_str(text));
    let error = parsed.err()?;
    let is_reached = error.to_string().contains(REACHED);
    is_reached.then(|| error.location()).flatten()
}

/// Message of the error that is raised at the value, by which this error is distinguished from errors in the text.
const REACHED: &str = "the searched value is here";

/// Parses a value and raises the error at the end of this path.
struct Locator<'a>(&'a [Step]);

impl<'de> DeserializeSeed<'de> for Locator<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Locator<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REACHED)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else {
            return Err(A::Error::custom(REACHED));
        };
        while let Some(key) = map.next_key::<String>()? {
            let searched = match step {
                Step::Key(searched) => *searched == key,
                Step::OnlyKey => true,
                Step::Index(_) => false,
            };
            if searched {
                map.next_value_seed(Locator(rest))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else {
            return Err(A::Error::custom(REACHED));
        };
        let mut index = 0;
        loop {
            let more = if *step == Step::Index(index) {
                list.next_element_seed(Locator(rest))?.is_some()
            } else {
                list.next_element::<IgnoredAny>()?.is_some()
            };
            if !more {
                return Ok(());
            }
            index += 1;
        }
    }
}

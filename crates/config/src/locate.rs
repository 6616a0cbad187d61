//! Finds the place of a value in a YAML text.
//!
//! The parser reports places only with errors. So the text is read a second time along the path to the value, and the
//! reading is made to fail there.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_yaml_ng::Location;

/// One step from a value into one of its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The value of a key.
    Key(String),
    /// The value of the only key of a map.
    OnlyKey,
    /// An item of a list.
    Index(usize),
}

/// The place of the value at `path`, or of the nearest value around it that can be found.
pub(crate) fn locate(text: &str, path: &[Step]) -> Option<Location> {
    let mut lengths = (0..=path.len()).rev();
    lengths.find_map(|length| exact(text, &path[..length]))
}

/// The place of the value at `path`.
pub(crate) fn exact(text: &str, path: &[Step]) -> Option<Location> {
    let found = Probe(path).deserialize(serde_yaml_ng::Deserializer::from_str(text));
    let error = found.err()?;
    let is_place = error.to_string().contains(HERE);
    is_place.then(|| error.location()).flatten()
}

/// Marks the error that is raised on purpose.
const HERE: &str = "the searched value is here";

struct Probe<'a>(&'a [Step]);

impl<'de> DeserializeSeed<'de> for Probe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Probe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HERE)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else {
            return Err(A::Error::custom(HERE));
        };
        while let Some(key) = map.next_key::<String>()? {
            let searched = match step {
                Step::Key(searched) => *searched == key,
                Step::OnlyKey => true,
                Step::Index(_) => false,
            };
            if searched {
                map.next_value_seed(Probe(rest))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else {
            return Err(A::Error::custom(HERE));
        };
        let mut index = 0;
        loop {
            let more = if *step == Step::Index(index) {
                list.next_element_seed(Probe(rest))?.is_some()
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

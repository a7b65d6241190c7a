//! Validated elements and typed access to their attributes.

use super::check::parse_and_check;
use super::problem::{ConfigError, Problem};
use super::value::{check_value, parse_duration};
use super::{Attribute, Element};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// A validated element with its child elements. Each attribute of the schema has a valid value, or is absent if it is
/// optional.
#[derive(Clone, Debug)]
pub struct Document {
    /// Line in the file, from 1; 0 if the element is not in the file.
    pub line: u32,
    /// Column, from 1; 0 if the element is not in the file.
    pub column: u32,
    /// Names of the elements from the root to this one, separated by `/`.
    pub(super) path: String,
    pub(super) values: BTreeMap<&'static str, String>,
    pub(super) children: BTreeMap<&'static str, Vec<Document>>,
}

impl Document {
    /// Parses `text` and validates it against `root`.
    ///
    /// # Errors
    /// [`ConfigError`] with every problem found, or with one problem if the text is not well-formed XML.
    pub fn parse(text: &str, root: &'static Element) -> Result<Document, ConfigError> {
        parse_and_check(text, root)
    }

    /// Creates an element for one that is missing in the file. Its attributes have their defaults, and so have those of
    /// its child elements that may appear at most once.
    pub(super) fn with_defaults(element: &'static Element, path: &str) -> Document {
        let default = |attribute: &Attribute| match attribute.default {
            None | Some("") => None,
            Some(value) => Some((attribute.name, value.to_owned())),
        };
        let child = |child: &'static Element| {
            let document = Document::with_defaults(child, &format!("{path}/{}", child.name));
            (child.name, vec![document])
        };
        let single_children = element
            .children
            .iter()
            .filter(|child| child.occurrence.is_single());
        Document {
            line: 0,
            column: 0,
            path: path.into(),
            values: element.attributes.iter().filter_map(default).collect(),
            children: single_children.map(child).collect(),
        }
    }

    /// Overrides the value of an attribute. `path` consists of the names of the elements and of the attribute. `root`
    /// is the schema that the document was validated against.
    ///
    /// # Errors
    /// [`ConfigError`] if the attribute does not exist, its element may appear more than once, or the value is invalid.
    pub fn set(
        &mut self,
        root: &'static Element,
        path: &str,
        value: &str,
    ) -> Result<(), ConfigError> {
        let replaced = match path.rsplit_once('/') {
            None => self.set_attribute(root, path, value),
            Some((elements, attribute)) => self
                .descend(root, elements)
                .and_then(|(element, document)| document.set_attribute(element, attribute, value)),
        };
        replaced.map_err(|message| ConfigError::from(Problem::without_position(path, message)))
    }

    /// Returns the element at a path below this one, in which each element may appear at most once.
    fn descend(
        &mut self,
        root: &'static Element,
        path: &str,
    ) -> Result<(&'static Element, &mut Document), String> {
        let (mut element, mut document) = (root, self);
        for step in path.split('/') {
            let children = element.children;
            let single = |child: &&Element| child.name == step && child.occurrence.is_single();
            element = children.iter().find(single).ok_or_else(|| {
                format!(
                    "<{}> has no element <{step}> that may appear at most once",
                    element.name
                )
            })?;
            document = document
                .children
                .get_mut(step)
                .and_then(|children| children.first_mut())
                .ok_or_else(|| format!("element <{step}> is missing"))?;
        }
        Ok((element, document))
    }

    fn set_attribute(
        &mut self,
        element: &'static Element,
        name: &str,
        value: &str,
    ) -> Result<(), String> {
        let attribute = element
            .attribute(name)
            .ok_or_else(|| format!("<{}> has no attribute '{name}'", element.name))?;
        check_value(attribute.kind, value)
            .map_err(|expected| format!("\"{value}\": expected {expected}"))?;
        self.values.insert(attribute.name, value.into());
        Ok(())
    }

    /// Creates a problem at the position of this element, for checks that the schema cannot express.
    pub fn problem(&self, message: impl Into<String>) -> Problem {
        Problem {
            line: self.line,
            column: self.column,
            element: self.path.clone(),
            message: message.into(),
        }
    }

    /// Returns the child element of a name that may appear at most once. A missing one has its defaults.
    ///
    /// # Panics
    /// If the schema has no such element, which is a bug in the caller.
    pub fn child(&self, name: &str) -> &Document {
        match self.children.get(name).and_then(|c| c.first()) {
            Some(child) => child,
            None => unreachable!("the schema has no single element <{name}> in {}", self.path),
        }
    }

    /// Returns the child elements of a name, in document order.
    pub fn children(&self, name: &str) -> &[Document] {
        self.children.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the text of an attribute, or `None` if it is absent.
    pub fn optional_string(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns the text of an attribute that is required or has a default; empty if it is absent.
    pub fn string(&self, name: &str) -> &str {
        self.optional_string(name).unwrap_or_default()
    }

    /// Returns the value of a flag; false if it is absent.
    pub fn flag(&self, name: &str) -> bool {
        self.string(name) == "true"
    }

    /// Returns the value of an integer; 0 if it is absent.
    pub fn integer(&self, name: &str) -> u64 {
        self.string(name).parse().unwrap_or_default()
    }

    /// Returns the value of a number; 0 if it is absent.
    pub fn number(&self, name: &str) -> f64 {
        self.string(name).parse().unwrap_or_default()
    }

    /// Returns the value of a duration; zero if it is absent.
    pub fn duration(&self, name: &str) -> Duration {
        parse_duration(self.string(name)).unwrap_or_default()
    }

    /// Returns the value of a duration in microseconds; 0 if it is absent.
    pub fn micros(&self, name: &str) -> u64 {
        u64::try_from(self.duration(name).as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the value of an address; port 0 on the loopback interface if it is absent.
    pub fn address(&self, name: &str) -> SocketAddr {
        let unset = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        self.string(name)
            .parse::<SocketAddrV4>()
            .unwrap_or(unset)
            .into()
    }
}

//! A checked document and typed access to its attributes.

use super::check::parse_and_check;
use super::problem::{ConfigError, Problem};
use super::value::{check_value, parse_duration};
use super::{Attribute, Element};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// A checked element: every attribute of the table has a value of its kind, or is absent where it may be.
#[derive(Clone, Debug)]
pub struct Document {
    /// Line in the file, from 1; 0 for an element that was left out.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
    /// Names of the elements from the outermost one, separated by `/`.
    pub(super) path: String,
    pub(super) values: BTreeMap<&'static str, String>,
    pub(super) children: BTreeMap<&'static str, Vec<Document>>,
}

impl Document {
    /// Parses `text` and checks it against `root`.
    ///
    /// # Errors
    /// [`ConfigError`] with every problem found, or the first that keeps it from being XML.
    pub fn parse(text: &str, root: &'static Element) -> Result<Document, ConfigError> {
        parse_and_check(text, root)
    }

    /// An element that was left out: its attributes have their defaults, and so have the single elements in it.
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

    /// Puts a value in place of what the file says: `path` names elements and, last, the attribute. `root` is the
    /// table that the document was checked against.
    ///
    /// # Errors
    /// [`ConfigError`] where there is no such attribute, the element may stand more than once, or the value is wrong.
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
        replaced.map_err(|what| ConfigError::from(Problem::without_place(path, what)))
    }

    /// The single element at a path of names below this one.
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
                format!("there is no single element '{step}' in <{}>", element.name)
            })?;
            document = document
                .children
                .get_mut(step)
                .and_then(|children| children.first_mut())
                .ok_or_else(|| format!("element '{step}' is not there"))?;
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
            .map_err(|expected| format!("\"{value}\": {expected} was expected"))?;
        self.values.insert(attribute.name, value.into());
        Ok(())
    }

    /// A problem found later with a value of this element.
    pub fn problem(&self, what: impl Into<String>) -> Problem {
        Problem {
            line: self.line,
            column: self.column,
            element: self.path.clone(),
            what: what.into(),
        }
    }

    /// The one child of that name; elements that may be left out are there with their defaults.
    ///
    /// # Panics
    /// Where the table has no single element of that name: a fault of the caller.
    pub fn child(&self, name: &str) -> &Document {
        match self.children.get(name).and_then(|c| c.first()) {
            Some(child) => child,
            None => unreachable!("the table has no single element {name} in {}", self.path),
        }
    }

    /// The children of that name, in order.
    pub fn children(&self, name: &str) -> &[Document] {
        self.children.get(name).map_or(&[], Vec::as_slice)
    }

    /// The text of an attribute, where it is there.
    pub fn optional_string(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// The text of an attribute that the table requires or gives a default.
    pub fn string(&self, name: &str) -> &str {
        self.optional_string(name).unwrap_or_default()
    }

    /// Value of a flag.
    pub fn flag(&self, name: &str) -> bool {
        self.string(name) == "true"
    }

    /// Value of a whole number; 0 where it is absent.
    pub fn integer(&self, name: &str) -> u64 {
        self.string(name).parse().unwrap_or_default()
    }

    /// Value of a number; 0 where it is absent.
    pub fn number(&self, name: &str) -> f64 {
        self.string(name).parse().unwrap_or_default()
    }

    /// Value of a time span; zero where it is absent.
    pub fn duration(&self, name: &str) -> Duration {
        parse_duration(self.string(name)).unwrap_or_default()
    }

    /// Value of a time span in microseconds; 0 where it is absent.
    pub fn micros(&self, name: &str) -> u64 {
        u64::try_from(self.duration(name).as_micros()).unwrap_or(u64::MAX)
    }

    /// Value of an address; port 0 of the loopback where it is absent.
    pub fn address(&self, name: &str) -> SocketAddr {
        let unset = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        self.string(name)
            .parse::<SocketAddrV4>()
            .unwrap_or(unset)
            .into()
    }
}

//! Validates an XML document against a schema definition.

use super::Element;
use super::document::Document;
use super::problem::{ConfigError, Problem};
use super::value::check_value;
use roxmltree::Node;
use std::collections::BTreeMap;

/// Maximum length of a document.
const MAX_BYTES: usize = 16 << 20;

/// Parses `text` and validates it against `root`.
///
/// # Errors
/// [`ConfigError`] with every problem found, or with one problem if the text is not well-formed XML.
pub(super) fn parse_and_check(text: &str, root: &'static Element) -> Result<Document, ConfigError> {
    let unreadable = |line, column, message: String| Problem {
        line,
        column,
        element: root.name.into(),
        message,
    };
    if text.len() > MAX_BYTES {
        let message = format!("file is longer than {MAX_BYTES} bytes");
        return Err(unreadable(1, 1, message).into());
    }
    let tree = roxmltree::Document::parse(text).map_err(|error| {
        let position = error.pos();
        unreadable(
            position.row,
            position.col,
            format!("not well-formed XML: {error}"),
        )
    })?;
    let node = tree.root_element();
    let name = node.tag_name().name();
    if name != root.name {
        let message = format!("expected <{}> as the root element", root.name);
        return Err(problem_at(node, name, message).into());
    }
    let mut checker = Checker::default();
    let document = checker.check_element(node, root, root.name);
    if checker.problems.is_empty() {
        Ok(document)
    } else {
        Err(ConfigError {
            problems: checker.problems,
        })
    }
}

fn problem_at(node: Node<'_, '_>, path: &str, message: String) -> Problem {
    let position = node.document().text_pos_at(node.range().start);
    Problem {
        line: position.row,
        column: position.col,
        element: path.into(),
        message,
    }
}

/// Collects all problems of a document, in document order.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, node: Node<'_, '_>, path: &str, message: impl Into<String>) {
        self.problems.push(problem_at(node, path, message.into()));
    }

    fn check_element(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) -> Document {
        let position = node.document().text_pos_at(node.range().start);
        let mut document = Document::with_defaults(element, path);
        (document.line, document.column) = (position.row, position.col);
        self.check_attributes(node, element, &mut document);
        self.check_required_attributes(node, element, path);
        let children = self.check_children(node, element, path);
        self.check_required_children(node, element, path, &children);
        document.children.extend(children);
        document
    }

    /// Stores the values of the given attributes, and reports unknown attributes and invalid values.
    fn check_attributes(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        document: &mut Document,
    ) {
        for given in node.attributes() {
            let (name, value) = (given.name(), given.value());
            let Some(attribute) = element.attribute(name) else {
                // Attributes of other namespaces are ignored, such as `xsi:schemaLocation`.
                if given.namespace().is_none() {
                    let known: Vec<&str> = element.attributes.iter().map(|a| a.name).collect();
                    let known = known.join(", ");
                    let message = format!("unknown attribute '{name}'; expected one of: {known}");
                    self.report(node, &document.path, message);
                }
                continue;
            };
            match check_value(attribute.kind, value) {
                Ok(()) => {
                    document.values.insert(attribute.name, value.into());
                }
                Err(expected) => {
                    let message = format!("{name}=\"{value}\": expected {expected}");
                    self.report(node, &document.path, message);
                }
            }
        }
    }

    fn check_required_attributes(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) {
        for attribute in element.attributes {
            if attribute.default.is_none() && node.attribute(attribute.name).is_none() {
                let (name, description) = (attribute.name, attribute.description);
                self.report(
                    node,
                    path,
                    format!("attribute '{name}' is missing: {description}"),
                );
            }
        }
    }

    /// Returns the validated child elements by name, and reports unknown ones.
    fn check_children(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
    ) -> BTreeMap<&'static str, Vec<Document>> {
        let mut found: BTreeMap<&'static str, Vec<Document>> = BTreeMap::new();
        for child in node.children() {
            self.check_text(child, path);
            if !child.is_element() {
                continue;
            }
            let name = child.tag_name().name();
            let Some(known) = element.children.iter().find(|e| e.name == name) else {
                let expected = names_of_children(element);
                let message = format!("unknown element <{name}>; expected: {expected}");
                self.report(child, path, message);
                continue;
            };
            let child_path = format!("{path}/{name}");
            let same_name = found.entry(known.name).or_default();
            if !same_name.is_empty() && known.occurrence.is_single() {
                self.report(child, &child_path, "element may appear only once");
            }
            same_name.push(self.check_element(child, known, &child_path));
        }
        found
    }

    /// Reports text between elements other than white space.
    fn check_text(&mut self, node: Node<'_, '_>, path: &str) {
        let text = node.text().unwrap_or_default().trim();
        if node.is_text() && !text.is_empty() {
            self.report(node, path, format!("unexpected text '{text}'"));
        }
    }

    fn check_required_children(
        &mut self,
        node: Node<'_, '_>,
        element: &'static Element,
        path: &str,
        found: &BTreeMap<&'static str, Vec<Document>>,
    ) {
        for child in element.children {
            if child.occurrence.is_required() && !found.contains_key(child.name) {
                let (name, description) = (child.name, child.description);
                let message = format!("element <{name}> is missing: {description}");
                self.report(node, path, message);
            }
        }
    }
}

/// Returns the names of the allowed child elements, for messages.
fn names_of_children(element: &Element) -> String {
    if element.children.is_empty() {
        return "no elements".into();
    }
    let names: Vec<String> = element
        .children
        .iter()
        .map(|child| format!("<{}>", child.name))
        .collect();
    names.join(", ")
}

//! The section `tenants`: the tenants that share the nodes.

use super::attribute::{POSITIVE, SHARE, attribute};
use crate::schema::{Document, Element, Occurrence, ValueKind};
use peppercove::Tenant;

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "tenants",
    occurrence: Occurrence::Optional,
    description: "The tenants that share the nodes.",
    attributes: &[attribute(
        "over-share-worth",
        SHARE,
        Some("1"),
        "What a task past its tenant's share is worth.",
    )],
    children: &[Element {
        name: "tenant",
        occurrence: Occurrence::ZeroOrMore,
        description: "One tenant.",
        attributes: &[
            attribute("name", ValueKind::Name, None, "Its name."),
            attribute(
                "quota-cores",
                POSITIVE,
                Some(""),
                "Cores that its tasks may ask for at a time within its share.",
            ),
        ],
        children: &[],
    }],
};

/// Returns the tenants, by index.
pub(super) fn tenants(section: &Document) -> Vec<Tenant> {
    let tenant = |tenant: &Document| Tenant {
        quota_cores: tenant
            .optional_string("quota-cores")
            .and_then(|cores| cores.parse().ok()),
    };
    section.children("tenant").iter().map(tenant).collect()
}

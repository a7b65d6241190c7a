//! What the program prints for users to keep is what the repository holds, byte for byte.

use crate::{assert_same, output};
use std::path::Path;

fn check(file: &str, arguments: &[&str]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file);
    let expected = std::fs::read_to_string(path).expect(file);
    assert_same(file, &expected, &output(0, arguments));
}

#[test]
fn the_program_prints_the_shipped_schemas_rules_and_settings() {
    check("schema/peppercove.xsd", &["config", "schema"]);
    check("schema/day.xsd", &["config", "schema", "--day"]);
    check("alerts/peppercove.rules.yml", &["alerts", "show"]);
    check("crates/config/default.xml", &["config", "default"]);
}

#[test]
fn settings_with_every_element_and_attribute_are_valid() {
    let said = output(0, &["config", "check", "every-setting.xml"]);
    assert_eq!(
        said,
        "every-setting.xml: valid; controller controller-0, 4 classes, 2 kinds of node\n"
    );
}

/// The schema names each element and attribute of the settings once where it is declared; all must stand in the file.
#[test]
fn the_settings_of_the_test_hold_every_attribute_of_the_schema() {
    for (schema, file) in [
        ("peppercove", "every-setting.xml"),
        ("day", "every-setting-day.xml"),
    ] {
        let schema =
            Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../schema/{schema}.xsd"));
        let schema = std::fs::read_to_string(schema).expect("the schema");
        let file = crate::text(file);
        let mut attributes = 0;
        for part in schema.split("<xs:attribute name=\"").skip(1) {
            let name = part.split('"').next().unwrap_or_default();
            assert!(
                file.contains(&format!(" {name}=\"")),
                "{name} is not in the file"
            );
            attributes += 1;
        }
        assert!(attributes > 30, "the schema is read");
    }
}

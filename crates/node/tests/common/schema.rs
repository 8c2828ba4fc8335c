//! Checks JSON against the schemas of `docs/openapi.json`: types, required fields, items and enum values, and that
//! there are no undocumented fields.

use serde_json::Value;

/// The OpenAPI document of the node's interfaces.
pub fn openapi_document() -> Value {
    serde_json::from_str(include_str!("../../../../docs/openapi.json"))
        .expect("the document is JSON")
}

/// Violations of the schema `name` by `value`; empty if there are none.
pub fn violations(document: &Value, name: &str, value: &Value) -> Vec<String> {
    let mut violations = Vec::new();
    let schema = &document["components"]["schemas"][name];
    assert!(schema.is_object(), "the document has no schema {name}");
    collect_violations(document, schema, value, name, &mut violations);
    violations
}

fn collect_violations(
    document: &Value,
    schema: &Value,
    value: &Value,
    path: &str,
    violations: &mut Vec<String>,
) {
    if let Some(reference) = schema["$ref"].as_str() {
        let target = document
            .pointer(&reference[1..])
            .expect("references have a target");
        return collect_violations(document, target, value, path, violations);
    }
    if !schema["type"].is_null() && !type_matches(&schema["type"], value) {
        violations.push(format!("{path}: {value} is not of type {}", schema["type"]));
        return;
    }
    if let Some(allowed) = schema["enum"].as_array()
        && !allowed.contains(value)
    {
        violations.push(format!("{path}: {value} is not one of {allowed:?}"));
    }
    for field in schema["required"].as_array().into_iter().flatten() {
        let field = field.as_str().unwrap_or_default();
        if value.get(field).is_none() {
            violations.push(format!("{path}: {field} is missing"));
        }
    }
    if schema["type"] == "object" {
        collect_field_violations(document, schema, value, path, violations);
    }
    for item in value.as_array().into_iter().flatten() {
        collect_violations(
            document,
            &schema["items"],
            item,
            &format!("{path}[]"),
            violations,
        );
    }
}

fn collect_field_violations(
    document: &Value,
    schema: &Value,
    value: &Value,
    path: &str,
    violations: &mut Vec<String>,
) {
    for (name, field) in value.as_object().into_iter().flatten() {
        let path = format!("{path}.{name}");
        let named = schema["properties"].get(name);
        match named.or_else(|| schema.get("additionalProperties")) {
            Some(schema) => collect_violations(document, schema, field, &path, violations),
            None => violations.push(format!("{path}: the document has no such field")),
        }
    }
}

fn type_matches(types: &Value, value: &Value) -> bool {
    let matches = |name: &Value| match name.as_str() {
        Some("object") => value.is_object(),
        Some("array") => value.is_array(),
        Some("string") => value.is_string(),
        Some("boolean") => value.is_boolean(),
        Some("integer") => value.is_u64() || value.is_i64(),
        Some("number") => value.is_number(),
        Some("null") => value.is_null(),
        _ => false,
    };
    match types {
        Value::Array(names) => names.iter().any(matches),
        name => matches(name),
    }
}

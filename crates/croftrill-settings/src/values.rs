//! Typed values and how each kind of key reads them.

use crate::keys::Kind;
use crate::settings::{HttpEndpoint, LogLevel};
use std::net::SocketAddr;
use toml_edit::Item;

/// What a name must be.
const NAME: &str = "a text without white space and slashes";

/// A value that suits its key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Name(String),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Endpoint(HttpEndpoint),
    Integer(u64),
    Fraction(f64),
    LogLevel(LogLevel),
}

impl Value {
    /// Checks a value that did not come through [`read`].
    pub fn check(&self, kind: Kind) -> Result<(), String> {
        match (self, kind) {
            (Value::Name(name), Kind::Name) => check_name(name),
            (Value::Fraction(number), Kind::Fraction) => check_fraction(*number),
            _ => Ok(()),
        }
    }
}

/// Reads the value of a key, or says what it should be.
pub(crate) fn read(kind: Kind, item: &Item) -> Result<Value, String> {
    match kind {
        Kind::Name => {
            let name = text(item, NAME)?;
            check_name(name)?;
            Ok(Value::Name(name.to_string()))
        }
        Kind::Address => read_address(item).map(Value::Address),
        Kind::AddressList => read_addresses(item),
        Kind::Endpoint => {
            let expected = "a text like \"http://10.0.0.1:2379\"";
            let endpoint = HttpEndpoint::parse(text(item, expected)?);
            endpoint.map(Value::Endpoint).ok_or(must_be(expected))
        }
        Kind::Integer { least, most } => read_integer(item, least, most),
        Kind::Fraction => {
            let number = item.as_float().or_else(|| item.as_integer().map(|n| n as f64));
            let number = number.ok_or(must_be("a number from 0 to 1"))?;
            check_fraction(number)?;
            Ok(Value::Fraction(number))
        }
        Kind::LogLevel => {
            let names: Vec<&str> = LogLevel::ALL.into_iter().map(LogLevel::as_str).collect();
            let expected = format!("one of {}", names.join(", "));
            let level = LogLevel::parse(text(item, &expected)?);
            level.map(Value::LogLevel).ok_or(must_be(&expected))
        }
    }
}

fn must_be(expected: &str) -> String {
    format!("must be {expected}")
}

fn text<'a>(item: &'a Item, expected: &str) -> Result<&'a str, String> {
    item.as_str().ok_or_else(|| must_be(expected))
}

fn check_name(name: &str) -> Result<(), String> {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '/';
    if name.is_empty() || !name.chars().all(plain) {
        return Err(must_be(NAME));
    }
    Ok(())
}

fn check_fraction(number: f64) -> Result<(), String> {
    if (0.0..=1.0).contains(&number) {
        return Ok(());
    }
    Err(must_be("a number from 0 to 1"))
}

fn read_address(item: &Item) -> Result<SocketAddr, String> {
    let expected = "a text like \"10.0.0.1:8080\"";
    text(item, expected)?.parse().map_err(|_| must_be(expected))
}

fn read_addresses(item: &Item) -> Result<Value, String> {
    let expected = "a list of texts like \"10.0.0.1:8080\"";
    let list = item.as_array().ok_or_else(|| must_be(expected))?;
    let mut addresses = Vec::new();
    for element in list {
        let address = element.as_str().and_then(|text| text.parse().ok());
        addresses.push(address.ok_or_else(|| must_be(expected))?);
    }
    Ok(Value::Addresses(addresses))
}

fn read_integer(item: &Item, least: u64, most: u64) -> Result<Value, String> {
    let number = item.as_integer().and_then(|number| u64::try_from(number).ok());
    match number {
        Some(number) if (least..=most).contains(&number) => Ok(Value::Integer(number)),
        _ => Err(must_be(&format!("a whole number from {least} to {most}"))),
    }
}

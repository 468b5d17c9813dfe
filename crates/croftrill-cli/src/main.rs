//! `croftrill`: the operators' command-line client.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{bail, Context};
use bytes::Bytes;
use croftrill_cli::{client, render};
use croftrill_scheduler::tenants::KeyDigest;
use http::Method;
use lexopt::prelude::*;
use serde_json::Value;
use tokio::task::LocalSet;

const HELP: &str = "\
Shows the status of a node and changes which models the system serves.

Usage: croftrill --node IP:PORT status [--json]
       croftrill --node IP:PORT lift FINGERPRINT
       croftrill --node IP:PORT document
       croftrill --node IP:PORT plan FILE.toml [--out PLAN.json]
       croftrill --node IP:PORT confirm PLAN.json
       croftrill digest < KEY

  --node IP:PORT  operator address of a node
  --json          print the response as JSON
  digest          print the digest that stands for a key in a document
  lift            allow a request to be sent again although replicas ended under it
  --out FILE      file for the plan, to be confirmed later; default: plan.json
  --help, --version
";

#[derive(Default)]
struct Arguments {
    node: Option<SocketAddr>,
    operands: Vec<String>,
    json: bool,
    out: Option<PathBuf>,
}

fn parse_arguments() -> anyhow::Result<Option<Arguments>> {
    let mut parsed = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("node") => parsed.node = Some(parser.value()?.parse()?),
            Long("json") => parsed.json = true,
            Long("out") => parsed.out = Some(parser.value()?.into()),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") => {
                println!("croftrill {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            lexopt::Arg::Value(operand) => parsed.operands.push(operand.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(parsed))
}

fn main() -> anyhow::Result<()> {
    let Some(arguments) = parse_arguments()? else {
        return Ok(());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(arguments))
}

/// Reads a key from standard input, without its line ending, and prints its digest.
fn print_digest() -> anyhow::Result<()> {
    let key = std::io::read_to_string(std::io::stdin())?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        bail!("no key on standard input");
    }
    println!("{}", KeyDigest::of(key.as_bytes()).to_hex());
    Ok(())
}

async fn run(arguments: Arguments) -> anyhow::Result<()> {
    if arguments.operands == ["digest"] {
        return print_digest();
    }
    let node = arguments.node.context("--node IP:PORT is missing; see --help")?;
    let operands: Vec<&str> = arguments.operands.iter().map(String::as_str).collect();
    match operands.as_slice() {
        ["status"] => {
            let status = send_request(node, Method::GET, "/v1/status", Bytes::new()).await?;
            print!(
                "{}",
                if arguments.json {
                    format!("{status}\n")
                } else {
                    render::status(&status)
                }
            );
        }
        ["lift", fingerprint] => {
            let body = serde_json::json!({ "fingerprint": fingerprint }).to_string();
            send_request(node, Method::POST, "/v1/lift", body.into()).await?;
            println!("lifted: {fingerprint}");
        }
        ["document"] => {
            let document = send_request(node, Method::GET, "/v1/document", Bytes::new()).await?;
            println!("{}", serde_json::to_string_pretty(&document)?);
        }
        ["plan", file] => {
            let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
            let desired: Value = toml_edit::de::from_str(&text).with_context(|| file.to_string())?;
            let plan = send_request(
                node,
                Method::POST,
                "/v1/plan",
                serde_json::to_vec(&desired)?.into(),
            )
            .await?;
            print!("{}", render::plan(&plan));
            let out = arguments.out.unwrap_or_else(|| "plan.json".into());
            std::fs::write(&out, serde_json::to_vec_pretty(&plan)?)?;
            println!(
                "nothing has changed yet; to go ahead: croftrill --node {node} confirm {}",
                out.display()
            );
        }
        ["confirm", file] => {
            let plan = std::fs::read(file).with_context(|| format!("cannot read {file}"))?;
            let confirmed = send_request(node, Method::POST, "/v1/confirm", plan.into()).await?;
            println!(
                "in force: version {} at revision {}",
                confirmed["version"], confirmed["revision"]
            );
        }
        _ => bail!("unknown call; see --help"),
    }
    Ok(())
}

async fn send_request(node: SocketAddr, method: Method, path: &str, body: Bytes) -> anyhow::Result<Value> {
    let answer = client::call(node, method, path, body).await?;
    let value: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    if answer.status().is_success() {
        return Ok(value);
    }
    if !value["new_plan"].is_null() {
        bail!(
            "{}\n{}",
            render::failure(&value),
            render::plan(&value["new_plan"])
        );
    }
    bail!("{}", render::failure(&value))
}

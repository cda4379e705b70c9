//! Sends a request through a gateway and prints the outcome.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use pico_args::Arguments;

use super::{block_on, finish};
use crate::lab_error::LabError;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let gateway: SocketAddr = args.value_from_str("--gateway")?;
    let path: String = args.value_from_str("--path")?;
    let method: Option<Method> = args.opt_value_from_str("--method")?;
    let key: Option<String> = args.opt_value_from_str("--key")?;
    let body: Option<String> = args.opt_value_from_str("--body")?;
    finish(args)?;
    let mut req = Request::builder()
        .method(method.unwrap_or(Method::POST))
        .uri(format!("http://{gateway}{path}"));
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    let req = req
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .map_err(|e| LabError::Usage {
            text: e.to_string().into(),
        })?;
    block_on(send(req))
}

async fn send(req: Request<Full<Bytes>>) -> Result<(), LabError> {
    let failed = |e: &dyn std::fmt::Display| LabError::Failed {
        text: e.to_string().into(),
    };
    let client = Client::builder(TokioExecutor::new()).build_http();
    let resp = client.request(req).await.map_err(|e| failed(&e))?;
    let status = resp.status();
    let outcome = resp.headers().get("x-zinniadrift-outcome").cloned();
    let body = resp
        .into_body()
        .collect()
        .await
        .map_err(|e| failed(&e))?
        .to_bytes();
    let outcome = outcome
        .as_ref()
        .and_then(|v| v.to_str().ok())
        .unwrap_or("none");
    println!(
        "{status}; outcome {outcome}; {}",
        String::from_utf8_lossy(&body)
    );
    if status.is_success() {
        Ok(())
    } else {
        Err(LabError::Failed {
            text: "refused".into(),
        })
    }
}

//! Guards against private fields sent to another firm, a ranking of equal scores that favours one firm, request ids
//! that are lost or of any length, and tokens or request content in metrics and logs.

use crate::common::{ADMIN_TOKEN, TestNodeBuilder, WORKSPACES, post, search_body, token};
use medlarpost_fakes::prelude::*;
use serde_json::json;
use slog::{Drain, KV as _};
use std::{fmt::Write as _, sync::mpsc as std_mpsc};

/// Text of requests that metrics and logs must not contain.
const REQUEST_TEXT: &str = "springs-for-door-17";

/// Log drain that sends each record as one line of text.
struct ChannelDrain(std_mpsc::Sender<String>);

struct RecordText(String);

impl slog::Serializer for RecordText {
    fn emit_arguments(&mut self, key: slog::Key, val: &std::fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={val}")?;
        Ok(())
    }
}

impl Drain for ChannelDrain {
    type Err = slog::Never;
    type Ok = ();

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut pairs = RecordText(record.msg().to_string());
        let _infallible = record.kv().serialize(record, &mut pairs);
        let _infallible = values.serialize(record, &mut pairs);
        // Fails if the test has ended.
        let _ended = self.0.send(pairs.0);
        Ok(())
    }
}

fn channel_logger() -> (Logger, std_mpsc::Receiver<String>) {
    let (tx, rx) = std_mpsc::channel();
    (Logger::root(ChannelDrain(tx).fuse(), slog::o!()), rx)
}

#[actix_rt::test]
async fn private_fields_reach_only_workspaces_that_list_the_firm() {
    let node = TestNodeBuilder::new().start().await;

    let mut replies = Vec::new();
    for workspace in WORKSPACES {
        replies.push((
            workspace,
            node.call("/v1/search", workspace, &search_body(workspace))
                .await,
        ));
    }

    for (workspace, reply) in replies {
        let results = reply.body["results"].as_array().expect("an answer");
        let own = results.iter().filter(|hit| hit["owner"] == workspace);
        let other = results.iter().filter(|hit| hit["owner"] != workspace);
        assert!(own.clone().count() > 0, "{results:?}");
        assert!(other.clone().count() > 0, "{results:?}");
        assert!(
            own.into_iter().all(|hit| hit["private"]["margin"].is_u64()),
            "{results:?}"
        );
        assert!(
            other.into_iter().all(|hit| hit.get("private").is_none()),
            "{results:?}"
        );
    }
}

#[actix_rt::test]
async fn equal_scores_favour_no_firm_over_many_requests() {
    const REQUESTS: usize = 400;
    let node = TestNodeBuilder::new().start().await;
    let body = search_body("firm-0").to_string();

    let mut first = HashMap::<String, usize>::new();
    for n in 0..REQUESTS {
        let id = format!("request-{n}");
        let reply = post(
            node.caller_address(),
            "/v1/search",
            &token("firm-0"),
            Some(&id),
            body.clone(),
        )
        .await;
        assert_eq!(reply.status.as_u16(), 200, "request {n}: {reply:?}");
        let results = reply.body["results"].as_array().expect("an answer");
        let winner = results
            .windows(2)
            .find(|pair| pair[0]["score"] == pair[1]["score"])
            .expect("the fakes give two hits of different firms with one score");
        assert_ne!(winner[0]["owner"], winner[1]["owner"]);
        let owner = winner[0]["owner"].as_str().unwrap_or_default().to_owned();
        *first.entry(owner).or_default() += 1;
    }

    // With a fair choice, four standard deviations over 400 requests are 40.
    assert_eq!(first.len(), 2, "{first:?}");
    assert!(
        first
            .values()
            .all(|&count| count.abs_diff(REQUESTS / 2) <= 40),
        "{first:?}"
    );
}

#[actix_rt::test]
async fn valid_request_ids_are_echoed_and_others_are_replaced() {
    let node = TestNodeBuilder::new().start().await;
    let body = search_body("firm-0").to_string();
    let longest = "x".repeat(64);
    let too_long = "x".repeat(65);
    let given = ["order-17", &longest, &too_long, "two words", ""];

    let mut replies = Vec::new();
    for id in given {
        replies.push(
            post(
                node.caller_address(),
                "/v1/search",
                &token("firm-0"),
                Some(id),
                body.clone(),
            )
            .await,
        );
    }
    let refused = post(
        node.caller_address(),
        "/v1/search",
        "wrong",
        Some("order-18"),
        body.clone(),
    )
    .await;
    let without = post(
        node.caller_address(),
        "/v1/search",
        &token("firm-0"),
        None,
        body,
    )
    .await;

    assert_eq!(replies[0].request_id, "order-17");
    assert_eq!(replies[1].request_id, longest);
    for reply in replies[2..].iter().chain([&without]) {
        assert!(reply.request_id.starts_with("node-0-"), "{reply:?}");
    }
    assert!(
        replies
            .iter()
            .all(|reply| reply.body["request_id"] == reply.request_id)
    );
    assert_eq!(refused.request_id, "order-18");
    assert_eq!(refused.body["request_id"], "order-18");
}

#[actix_rt::test]
async fn metrics_and_logs_contain_no_tokens_and_no_request_content() {
    let (log, lines) = channel_logger();
    let node = TestNodeBuilder::new().log(log).start().await;
    let unproved = "tenant-that-nobody-knows";
    for workspace in [WORKSPACES[0], WORKSPACES[1], unproved] {
        let mut body = search_body(workspace);
        body["query"] = json!(REQUEST_TEXT);
        node.call("/v1/search", workspace, &body).await;
    }
    let ticket = node
        .call("/v1/tickets", "firm-0", &json!({"tenant": "firm-0"}))
        .await;
    let ticket = ticket.body["ticket"]
        .as_str()
        .expect("a ticket is issued")
        .to_owned();
    let booking = json!({"tenant": "firm-0", "service": "crew-booking", "ticket": ticket,
        "booking": {"name": REQUEST_TEXT}, "deadline_ms": 2_000});
    let booked = node.call("/v1/bookings", "firm-0", &booking).await;

    let (status, metrics) = node.admin_get("/metrics", "").await;
    node.node.drain().await.stop().await;
    let logged: Vec<_> = lines.try_iter().collect();

    assert_eq!(booked.status.as_u16(), 200, "{booked:?}");
    assert_eq!(status.as_u16(), 200);
    let secrets = [
        &token("firm-0"),
        &token("firm-1"),
        REQUEST_TEXT,
        unproved,
        ADMIN_TOKEN,
        &ticket,
    ];
    for secret in secrets {
        assert!(!metrics.contains(secret), "metrics contain {secret}");
        assert!(
            logged.iter().all(|line| !line.contains(secret)),
            "a log line contains {secret}"
        );
    }
    assert!(
        logged.iter().any(|line| line.contains("bundle_in_force")),
        "{logged:?}"
    );
    assert!(metrics.contains(r#"tenant="firm-0""#), "{metrics}");
}

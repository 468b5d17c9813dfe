//! The whole path through real processes: operators create, callers ask, a cold
//! model wakes, the whole answer comes back.

mod support;

use croftrill_standin::expected_answer;
use croftrill_state::ModelId;
use futures::future::join_all;
use support::{Cluster, ClusterPlan, Completion, TWO_REPLICAS};

fn expected(model: &str, prompt: &str, max_tokens: u32) -> String {
    expected_answer(&ModelId::from(model), None, prompt, None, max_tokens)
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_model_wakes_and_answers_whole() {
    let cluster = Cluster::start(ClusterPlan::default()).await;
    cluster.create_model("tender-review", &TWO_REPLICAS).await;

    let completion = Completion::new("tender-review", "Review the bid of the county.", 40);
    let answer = cluster.nodes[1].caller().complete(&completion).await;

    assert!(answer.is_served(), "{answer:?}");
    assert_eq!(answer.text, expected("tender-review", &completion.prompt, 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_at_many_gateways_starts_one_load() {
    const GATEWAYS: usize = 4;
    const REQUESTS: usize = 200;
    let plan = ClusterPlan {
        nodes: GATEWAYS,
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.create_model("clause-lookup", &TWO_REPLICAS).await;

    let requests = (0..REQUESTS).map(|index| {
        let caller = cluster.nodes[index % GATEWAYS].caller();
        let completion = Completion::new("clause-lookup", &format!("Clause {index}"), 20);
        async move { (completion.prompt.clone(), caller.complete(&completion).await) }
    });
    for (prompt, answer) in join_all(requests).await {
        assert!(answer.is_served(), "{prompt}: {answer:?}");
        assert_eq!(answer.text, expected("clause-lookup", &prompt, 20));
    }

    let loads: usize = cluster
        .ledgers()
        .await
        .iter()
        .map(|ledger| ledger.loads.len())
        .sum();
    assert_eq!(loads, 1);
}

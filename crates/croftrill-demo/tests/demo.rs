//! The demo system serves every model, whether it is loaded or not.

use std::time::Duration;

use croftrill_demo::caller::{call, Call, CallOutcome};
use croftrill_demo::system::{System, MODELS};
use tokio::task::LocalSet;

#[test]
fn call_every_model_and_adapter() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let system = System::start(3, 2).await.expect("the system starts");
        for (index, model) in MODELS.iter().chain([&"maple/a1"]).enumerate() {
            let node = system.nodes[index % system.nodes.len()].settings.listen;
            let request = Call {
                attempt: format!("demo-{index}"),
                model: (*model).to_string(),
                prompt: "a question".to_string(),
                events: 4,
                deadline: Duration::from_secs(20),
                group: None,
                key: None,
            };
            let mut end = call(node, &request).await.0;
            if let CallOutcome::Refused {
                retry_after: Some(time),
            } = end
            {
                tokio::time::sleep(time).await;
                end = call(
                    node,
                    &Call {
                        attempt: format!("demo-{index}-again"),
                        ..request
                    },
                )
                .await
                .0;
            }
            assert_eq!(end, CallOutcome::Complete, "{model}");
        }
        for engine in &system.engines {
            assert!(engine.ledger().violations.is_empty());
        }
    });
}

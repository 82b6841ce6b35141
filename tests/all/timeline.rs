//! The time line of a real session with a failover, merged from all gateways.

use {
    crate::support::{assert_golden, ballast_plan, number_ids, run},
    gullglade_demo::{CallerClient, Deployment, read_reply},
    gullglade_event::{EventFilter, EventRecord, Timeline},
};

/// Tokens of an answer that is long enough to lose its engine in the middle.
const LONG_ANSWER: u64 = 60;

/// What does not depend on time, ports or the draw between equal engines: who, what, and the fields
/// that name something. Engines are numbered by first appearance.
fn show(events: &[&EventRecord]) -> String {
    let mut engines: Vec<String> = Vec::new();
    let mut text = String::new();
    for event in events {
        text += &format!("{} {}", event.vm, event.kind);
        for (key, value) in &event.fields {
            match key.as_str() {
                "backend" => {
                    if !engines.contains(value) {
                        engines.push(value.clone());
                    }
                    let number = engines.iter().position(|engine| engine == value);
                    text += &format!(" backend=<engine {}>", number.unwrap_or_default());
                }
                "ms" | "offset" | "reason" | "incarnation" | "peer" => {
                    text += &format!(" {key}=<…>")
                }
                _ => text += &format!(" {key}={value}"),
            }
        }
        text.push('\n');
    }
    number_ids(&text)
}

#[test]
fn golden_time_line_of_a_failover() {
    run(async {
        let plan = ballast_plan(&[("engine-1", "columbia"), ("engine-2", "columbia")]);
        let deployment = Deployment::start(plan).await.unwrap();
        let caller = CallerClient::new("demo-roadmasters");
        let near = deployment.gateway("puget-1").addresses().caller;
        let prompt = "Quote 400 tons for milepost 88.";
        let mut reply = caller.open_chat(near, "ballast", prompt, LONG_ANSWER).await.unwrap();
        let id = reply.head.headers["gullglade-request"].to_str().unwrap().to_owned();
        reply.body.next().await.unwrap().unwrap();
        let columbia = deployment.region("columbia");
        let stats = columbia.stats().await.unwrap();
        let busy = stats.into_iter().find(|(_, stats)| stats.runs == 1).unwrap().0;
        columbia.kill(&busy).await.unwrap();
        let rest = read_reply(reply).await;
        assert!(rest.whole && rest.text().trim_end().ends_with("[DONE]"), "{}", rest.text());

        let mut line = Timeline::default();
        for gateway in deployment.gateways() {
            line.add(gateway.plan().vm.as_str(), &gateway.events().await.unwrap());
        }
        line.sort();
        assert_eq!(line.notes(), [""; 0]);
        let events = line.select(&EventFilter::default().request(Some(id)));
        assert_golden("timeline.txt", &show(&events));
    });
}

//! Embeds routing, admission and retry budgets in another program.

use nutmegwheel_policy::{
    admission::{self, Completion, Offer, Queue},
    concurrency::{self, Gradient},
    retry::{CallEnd, ChainBudget},
    routing::{self, Announcement, Outcome, ServerState, Table},
};
use nutmegwheel_types::Priority;
use std::time::{Duration, Instant};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (now, mut rng) = (Instant::now(), rand::rng());
    let priority = Priority {
        rank: 0,
        over_share: 0,
        root_hash: 7,
    };
    let mut table = Table::open("riga1".into(), routing::Options::default());
    table.announce(
        now,
        Announcement {
            node: "riga1-n1".into(),
            data_centre: "riga1".into(),
            incarnation: 1,
            slots: 17,
            state: ServerState::Ready,
        },
    );
    let limiter = Gradient::open(now, 17, concurrency::Options::default());
    let mut queue = Queue::open(now, Box::new(limiter), admission::Options::default());
    let mut chain = ChainBudget::open(3);
    let call = chain.begin(1)?;
    let key = table.choose(
        now,
        &routing::Request {
            priority,
            tried: &[],
        },
        &mut rng,
    )?;
    let req = admission::Request {
        priority,
        is_nested: false,
        endpoint: "counts".into(),
        deadline: now + Duration::from_millis(800),
    };
    if let Offer::Started(ticket) = queue.offer(now, req, &mut rng) {
        queue.finish(
            now + Duration::from_millis(20),
            ticket,
            Completion::Answered,
        );
    }
    table.finish(now, key, Outcome::Answered, Some(queue.report()));
    chain.finish(call.child, CallEnd::Answered, Some(call.tokens));
    println!("{} retries left", chain.close());
    Ok(())
}

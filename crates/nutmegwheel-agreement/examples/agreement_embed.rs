//! A minimal embedding: three replicas in one process that replicate a sum.

use std::{error::Error, mem, path::Path, thread, time::Duration, time::Instant};

use nutmegwheel_agreement::{FileStore, Input, Options, Output, Replica, ReplicaName};
use rand::Rng;

struct Member {
    replica: Replica,
    sum: u64,
    inbox: Vec<Input>,
}

fn open(folder: &Path, name: &ReplicaName, all: &[ReplicaName]) -> Result<Member, Box<dyn Error>> {
    let mut options = Options::new(name.clone());
    options.bootstrap_members = all.to_vec();
    let store = Box::new(FileStore::open(folder.join(&**name))?);
    let random = Box::new(|| rand::rng().random());
    let (replica, _) = Replica::open(&options, store, random, Instant::now())?;
    Ok(Member {
        replica,
        sum: 0,
        inbox: Vec::new(),
    })
}

fn propose(number: u8) -> Input {
    let (id, command) = (number.into(), vec![number].into());
    Input::Propose { id, command }
}

fn main() -> Result<(), Box<dyn Error>> {
    let names: Vec<ReplicaName> = ["a", "b", "c"].map(Into::into).to_vec();
    let folder = tempfile::tempdir()?;
    let open = names.iter().map(|name| open(folder.path(), name, &names));
    let mut members = open.collect::<Result<Vec<_>, _>>()?;
    let mut numbers = 1..=10;
    while members.iter().any(|m| m.sum < 55) {
        for at in 0..members.len() {
            let member = &mut members[at];
            let mut inputs = mem::replace(&mut member.inbox, vec![Input::Tick]);
            if member.replica.core().is_leader() {
                inputs.extend(numbers.next().map(propose));
            }
            for output in member.replica.step_all(Instant::now(), inputs) {
                if let Output::Committed(c) = output {
                    members[at].sum += u64::from(c.command[0]);
                } else if let Output::Send(message) = output {
                    let to = names.iter().position(|n| *n == message.to);
                    let to = &mut members[to.ok_or("no such replica")?];
                    to.inbox.push(Input::Message(message));
                }
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    println!("every replica has counted to {}", members[0].sum);
    Ok(())
}

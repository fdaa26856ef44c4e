use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use nutmegwheel_claims::{SeedGeneration, home};
use nutmegwheel_config::Settings;
use nutmegwheel_types::{DataCentreId, ProcessName, RequestId, plain};

/// The number of the lists that the settings files name.
const GENERATION: SeedGeneration = 1;

plain! {
    /// The seeds of one data centre.
    #[derive(Default)]
    pub struct SeedList {
        /// The number of this list.
        pub generation: SeedGeneration,
        /// Where each seed takes links.
        pub seeds: BTreeMap<ProcessName, SocketAddr>,
    }

    /// The seeds of all data centres of the fleet.
    pub struct SeedLists {
        lists: BTreeMap<DataCentreId, SeedList>,
    }
}

impl SeedLists {
    /// Takes the lists from the settings of a process.
    #[must_use]
    pub fn open(settings: &Settings) -> Self {
        let mut lists: BTreeMap<DataCentreId, SeedList> = BTreeMap::new();
        for seed in &settings.seeds {
            let list = lists.entry(seed.data_centre.clone()).or_default();
            list.generation = GENERATION;
            list.seeds.insert(seed.name.clone(), seed.link);
        }
        Self { lists }
    }

    /// The seeds of a data centre.
    #[must_use]
    pub fn get(&self, data_centre: &str) -> Option<&SeedList> {
        self.lists.get(data_centre)
    }

    /// The data centre whose seeds alone decide on a request's claims.
    #[must_use]
    pub fn home(&self, id: &RequestId, key: &str) -> Option<DataCentreId> {
        let data_centres: BTreeSet<DataCentreId> = self.lists.keys().cloned().collect();
        home::choose(&home::Options {
            id,
            key,
            data_centres: &data_centres,
        })
    }
}

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use nutmegwheel_claims::{SeedGeneration, home};
use nutmegwheel_config::Settings;
use nutmegwheel_types::{DataCentreId, ProcessName, RequestId, plain};

/// The generation of the seed lists in the settings.
const GENERATION: SeedGeneration = 1;

plain! {
    /// The seed list of one data centre.
    #[derive(Default)]
    pub struct SeedList {
        /// The generation of this list.
        pub generation: SeedGeneration,
        /// The link address of each seed, by the seed's name.
        pub seeds: BTreeMap<ProcessName, SocketAddr>,
    }

    /// The seed lists of all data centres of the fleet.
    pub struct SeedLists {
        lists: BTreeMap<DataCentreId, SeedList>,
    }
}

impl SeedLists {
    /// Reads the lists from the settings of a process.
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

    /// The seed list of a data centre, if it has seeds.
    #[must_use]
    pub fn get(&self, data_centre: &str) -> Option<&SeedList> {
        self.lists.get(data_centre)
    }

    /// Chooses the home data centre of a request, whose seeds alone grant its claims. Returns
    /// `None` if no data centre has seeds.
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

//! Capacity of a gateway's VM, and the weight that follows from it.
//!
//! Load: a region in which some VMs have several times the processor, memory or link of others.
//! Callers and gateways that treat all gateways alike overload the smallest VM first, while the
//! largest ones stay idle. A gateway announces what its settings state, and everything that
//! distributes work over gateways uses the weight.

use {
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
    std::{fmt, num::NonZeroU32},
};

/// Bounds of a weight. A VM that states ten times what it has gets at most four times the load of
/// an average one. A VM that is far below the average still takes a few callers.
const WEIGHT_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Smallest relative difference of weights that counts. Smaller ones are rounding errors of VMs
/// that are meant to be alike, such as a third of a core stated as 0.333 and 0.3333.
const WEIGHT_TOLERANCE: f64 = 0.01;

/// Errors of a stated capacity.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum CapacityError {
    /// A figure is not a number.
    #[snafu(display("{key} = {text} is not a number; state what the VM has, or omit it"))]
    NotNumber {
        /// Key of the figure.
        key: &'static str,
        /// Stated value.
        text: String,
    },
    /// A figure is not a positive number, or is too large to be true.
    #[snafu(display(
        "{key} = {value} is outside {min} to {max}; state what the VM has, or omit it"
    ))]
    OutOfRange {
        /// Key of the figure.
        key: &'static str,
        /// Stated value.
        value: f64,
        /// Smallest accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
}

/// Capacity of a VM as its settings state it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawVmCapacity {
    /// Number of processor cores.
    pub cores: Option<f64>,
    /// Share of these cores that the process may use.
    pub cpu_share: Option<f64>,
    /// Memory, megabytes.
    pub memory_mb: Option<f64>,
    /// Bandwidth of the network link, megabits per second.
    pub link_mbps: Option<f64>,
}

/// Validated capacity of a VM. What is not stated is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmCapacity {
    cpu_millis: Option<NonZeroU32>,
    memory_mb: Option<NonZeroU32>,
    link_kbps: Option<NonZeroU32>,
}

impl VmCapacity {
    /// Returns the processor time per second, thousandths of a core.
    pub fn cpu_millis(&self) -> Option<u32> {
        self.cpu_millis.map(NonZeroU32::get)
    }

    /// Returns the memory, megabytes.
    pub fn memory_mb(&self) -> Option<u32> {
        self.memory_mb.map(NonZeroU32::get)
    }

    /// Returns the bandwidth of the network link, kilobits per second.
    pub fn link_kbps(&self) -> Option<u32> {
        self.link_kbps.map(NonZeroU32::get)
    }

    fn figures(&self) -> [Option<u32>; 3] {
        [self.cpu_millis(), self.memory_mb(), self.link_kbps()]
    }
}

impl TryFrom<RawVmCapacity> for VmCapacity {
    type Error = CapacityError;

    fn try_from(raw: RawVmCapacity) -> Result<Self, CapacityError> {
        let cores = checked("cores", raw.cores, 0.001, 4_096.0)?;
        let share = checked("cpuShare", raw.cpu_share, 0.000_1, 4_096.0)?;
        let cpu = match (cores, share) {
            (None, None) => None,
            (cores, share) => Some(cores.unwrap_or(1.0) * share.unwrap_or(1.0)),
        };
        let memory = checked("memoryMb", raw.memory_mb, 1.0, 64.0 * 1_048_576.0)?;
        let link = checked("linkMbps", raw.link_mbps, 0.001, 1_000_000.0)?;
        Ok(Self {
            cpu_millis: cpu.and_then(|cpu| rounded(cpu * 1_000.0)),
            memory_mb: memory.and_then(rounded),
            link_kbps: link.and_then(|link| rounded(link * 1_000.0)),
        })
    }
}

fn checked(
    key: &'static str,
    value: Option<f64>,
    min: f64,
    max: f64,
) -> Result<Option<f64>, CapacityError> {
    if let Some(value) = value {
        ensure!(
            value.is_finite() && value >= min && value <= max,
            OutOfRangeSnafu { key, value, min, max }
        );
    }
    Ok(value)
}

/// Rounds a positive number; a fraction below one counts as one.
fn rounded(value: f64) -> Option<NonZeroU32> {
    // The conversion saturates.
    NonZeroU32::new((value.round() as u32).max(1))
}

impl fmt::Display for VmCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = ["cpu_millis", "memory_mb", "link_kbps"];
        let stated = units.iter().zip(self.figures()).filter_map(|(unit, n)| Some((unit, n?)));
        let stated: Vec<_> = stated.map(|(unit, n)| format!("{unit}:{n}")).collect();
        match stated.is_empty() {
            true => f.write_str("unstated"),
            false => f.write_str(&stated.join(",")),
        }
    }
}

impl gullglade_event::FieldValue for VmCapacity {}

/// Returns the weight of each gateway of a group, in the order of `capacities`: the least of its
/// figures relative to their means over the group, between 0.25 and 4. A figure that a gateway does
/// not state counts as the mean.
pub fn gateway_weights(capacities: &[VmCapacity]) -> Vec<f64> {
    let mean = |index: usize| {
        let stated = capacities.iter().filter_map(|c| c.figures()[index]);
        let (sum, count) =
            stated.fold((0.0, 0.0), |(sum, count), n| (sum + f64::from(n), count + 1.0));
        sum / f64::max(count, 1.0)
    };
    let means = [mean(0), mean(1), mean(2)];
    let weight = |capacity: &VmCapacity| {
        let relative = capacity.figures().into_iter().zip(means);
        let stated = relative.filter_map(|(figure, mean)| Some(f64::from(figure?) / mean));
        let (min, max) = WEIGHT_BOUNDS;
        stated.reduce(f64::min).unwrap_or(1.0).clamp(min, max)
    };
    capacities.iter().map(weight).collect()
}

/// Returns whether the weights are the same, so that they have no effect.
pub fn are_equal_weights(weights: &[f64]) -> bool {
    let max = weights.iter().copied().fold(0.0, f64::max);
    weights.iter().all(|weight| max - weight <= max * WEIGHT_TOLERANCE)
}

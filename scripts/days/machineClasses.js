/** Classes of machines that keep data on a disk. */
const MACHINES_WITH_DISK = ["core", "store"];

/** Every class of machine. */
const ALL_MACHINES = [...MACHINES_WITH_DISK, "front"];

module.exports = { MACHINES_WITH_DISK, ALL_MACHINES };

/** Machine classes that store data on a disk. */
const MACHINES_WITH_DISK = ["core", "store"];

/** All machine classes. */
const ALL_MACHINES = [...MACHINES_WITH_DISK, "front"];

module.exports = { MACHINES_WITH_DISK, ALL_MACHINES };

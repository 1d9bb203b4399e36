import { isRepairRequest } from "../src/shard/messages/repairMessages";
import { isCatchUpRequest, isReplicateRequest } from "../src/shard/messages/replicationMessages";
import { isCanExtendRequest, isSegmentChunkRequest } from "../src/shard/messages/stateTransferMessages";
import { isInstallRequest, isLogSyncRequest, isSealRequest } from "../src/shard/messages/viewChangeMessages";

const view = { shard: 1, epoch: 2, members: ["s1", "s2"], lead: "s1" };
const replicate = {
  shard: 1,
  epoch: 2,
  view,
  prevSeq: 4,
  prevEpoch: -2,
  entries: [{ seq: 5, epoch: 2, frontier: 1000.5, puts: [] }],
  frontier: 1000.5,
  stable: 4,
};
const catchUp = { shard: 1, epoch: 3, prevSeq: 4, entries: [] };

test.each<[string, (body: unknown) => boolean, object]>([
  ["shard.replicate", isReplicateRequest, replicate],
  ["shard.catchUp without a known epoch", isCatchUpRequest, catchUp],
  ["shard.seal", isSealRequest, { shard: 1, epoch: 3 }],
  ["shard.level", isLogSyncRequest, { shard: 1, epoch: 3, targets: [{ id: "s2", address: "10.0.0.2:7000" }] }],
  ["shard.install", isInstallRequest, { shard: 1, view, waitMs: 0 }],
  ["shard.goesOn of an empty log", isCanExtendRequest, { shard: 1 }],
  ["shard.segmentPart", isSegmentChunkRequest, { shard: 1, kind: "lots", number: 0, part: "seg", from: 0 }],
  ["shard.mend", isRepairRequest, { shard: 1, epoch: 2, seq: 4, works: [], lots: [] }],
])(
  "a %s request is valid; without its shard, or with a shard that doesn't exist, it is malformed",
  (_name, check, body) => {
    expect(check(body)).toBe(true);
    expect(check({ ...body, shard: undefined })).toBe(false);
    expect(check({ ...body, shard: 8 })).toBe(false);
    expect(check(null)).toBe(false);
  },
);

test.each([
  ["a view without members", { view: { ...view, members: undefined } }],
  ["an entry without a position", { entries: [{ epoch: 2, frontier: 1000.5, puts: [] }] }],
  ["entries that are not a list", { entries: {} }],
  ["a position that is not an integer", { prevSeq: 4.5 }],
])("a shard.replicate request with %s is malformed", (_name, change) => {
  expect(isReplicateRequest({ ...replicate, ...change })).toBe(false);
});

import { Constants } from "../src/common/constants";
import { ownHeaderNames } from "../src/forwarding/headerNames";
import { Http } from "../src/adapters/http";
import { WarmUpMoments, WarmUpRequests } from "../src/ingress/warmUpRequests";
import { Csp } from "../src/runtime/csp";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const address = "10.0.0.1:80";

/** An ingress that warms up in virtual time; counts the warm-up requests that reach it. */
class WarmingIngress {
  readonly world = new SimWorld(1, () => undefined);
  served = 0;
  ended = false;

  constructor(moments: WarmUpMoments) {
    const { env } = this.world.start("ingress", new SimDisk(this.world));
    const routes = WarmUpRequests.routes(ownHeaderNames);
    const ingress = this;
    Csp.go(env.scope, "serve", () =>
      env.serveHttp(address, (exchange) => {
        ingress.served += 1;
        return Http.dispatch(routes, exchange);
      }),
    );
    Csp.go(env.scope, "warm up", function* () {
      yield* WarmUpRequests.run(env, ownHeaderNames, address, moments);
      ingress.ended = true;
    });
  }
}

describe("warm-up requests", () => {
  test("begin once the ingress is ready, and end when all are sent", async () => {
    let isReady = false;
    const ingress = new WarmingIngress({ mayBegin: () => isReady, isBusy: () => false });
    await ingress.world.run(1000);
    expect(ingress.served).toBe(0);
    isReady = true;
    await ingress.world.run(Constants.warmUpMs);
    expect(ingress.served).toBe(Constants.warmUpRequests);
    expect(ingress.ended).toBe(true);
  });

  test("leave the processor to callers, and end with their time if callers are always there", async () => {
    const ingress = new WarmingIngress({ mayBegin: () => true, isBusy: () => true });
    await ingress.world.run(Constants.warmUpMs + 1000);
    expect(ingress.served).toBe(0);
    expect(ingress.ended).toBe(true);
  });
});

/** What the scripts of this review start, bundled by `review/build-2.sh` from the project's own test code. */
export { DeployedFleet } from '../../platform/src/testing/deployed-fleet.ts';
export { callAddress, routingConfiguration } from '../../platform/src/testing/platform-fleet.ts';

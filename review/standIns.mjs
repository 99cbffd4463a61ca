// The stand-ins of the platform that the cases of the second review start; bundled by build-2.sh.
export { EndpointStandIn } from '../platform/tests/endpointStandIn.ts'
export { StoreStandIn } from '../platform/tests/storeStandIn.ts'

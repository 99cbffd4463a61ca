import { create } from '@bufbuild/protobuf'
import { EndpointStateSchema, RoomSchema } from '@hazellift/protocol'
import type { EndpointState } from '@hazellift/protocol'
import type { AnnouncedIncarnation } from './leasedHostOptions.js'

/**
 * The message that reports an endpoint's incarnation to entries.
 *
 * @param announced - undefined while no incarnation accepts starts; the message is empty then
 */
export const describeIncarnation = (announced: AnnouncedIncarnation | undefined): EndpointState => {
  if (announced === undefined) return create(EndpointStateSchema)
  const { service, incarnation, address, capacity } = announced
  return create(EndpointStateSchema, { service, incarnation, address, capacity: create(RoomSchema, capacity) })
}

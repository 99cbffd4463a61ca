import { SlotGranter, compilePolicy } from '@hazellift/coordination'

// Two entries share the four slots of one endpoint.
const granter = new SlotGranter(1)
granter.addEntry('entry-1')
granter.addEntry('entry-2')
granter.setSlots(4)

// Each keeps one standing credit; entry-1 wants three more.
granter.setDemand('entry-1', 3)
console.log(granter.plan(() => true))
// [ { entry: 'entry-1', credits: 3 }, { entry: 'entry-2', credits: 1 } ]

// A policy decides about a job of its workspace, and about nothing else.
const policy = compilePolicy({ admit: 'job.tasks <= 100 && usage.queued < 500', priority: 'job.labels["kind"] == "quote" ? 5 : 0' })
if (policy.ok) {
  const job = { id: 'a', service: 'order-desk', tasks: 3, payloadBytes: 0, unrepeatable: false, deadlineMs: 0, labels: { kind: 'quote' } }
  console.log(policy.value.evaluate(job, { running: 0, queued: 0 }).priority)
  // 5
}

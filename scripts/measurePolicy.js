// Measures the time that one evaluation takes for a typical policy and for the most
// expensive ones that are still accepted.
import { POLICY_LIMITS, compilePolicy } from '@hazellift/coordination'

const ROUNDS = 2000
const list = JSON.stringify(Array.from({ length: POLICY_LIMITS.maxListElements }, (_, index) => index))
const longBody = Array.from({ length: 8 }, () => 'x * 2 + 1 > 0').join(' && ')

const POLICIES = {
  usual: { admit: 'job.tasks <= 100 && usage.queued < 500', priority: '"kind" in job.labels && job.labels["kind"] == "quote" ? 5 : 0' },
  'loop over a list, long body': { admit: `${list}.all(x, ${longBody})` },
  'the same in every field': {
    admit: `${list}.all(x, ${longBody})`,
    reason: `string(${list}.map(x, x * 2 + 1).size())`,
    priority: `${list}.filter(x, ${longBody}).size()`,
    running: `${list}.filter(x, ${longBody}).size()`,
    queued: `${list}.filter(x, ${longBody}).size()`,
    rate: `${list}.filter(x, ${longBody}).size()`,
    retries: `${list}.filter(x, ${longBody}).size()`
  }
}
const labels = Object.fromEntries(Array.from({ length: POLICY_LIMITS.maxLabels }, (_, index) => [`label-${index}`, 'x'.repeat(POLICY_LIMITS.maxLabelLength)]))
const job = { id: 'a', service: 's', tasks: 3, payloadBytes: 10, unrepeatable: false, deadlineMs: 0, labels: { ...labels, kind: 'quote' } }

for (const [name, source] of Object.entries(POLICIES)) {
  const policy = compilePolicy(source)
  if (!policy.ok) {
    console.log(`${name}: refused: ${policy.err[0].message}`)
    continue
  }
  for (let round = 0; round < 500; round++) policy.value.evaluate(job, { running: 0, queued: 0 })
  const startedAt = performance.now()
  for (let round = 0; round < ROUNDS; round++) policy.value.evaluate(job, { running: 0, queued: 0 })
  console.log(`${name}: ${((performance.now() - startedAt) / (ROUNDS) * 1000).toFixed(1)} µs an evaluation`)
}

import { TIME_BUCKETS_SECONDS } from '@hazellift/common'
import type { Metrics } from '@hazellift/common'

/** Creates the metrics of an entry. No label names a workspace. */
export const createEntryMetrics = ({ counter, histogram }: Metrics) => ({
  refusals: counter({ name: 'hazellift_refusals_total', help: 'Requests refused', labels: ['reason'] }),
  jobs: counter({ name: 'hazellift_jobs_total', help: 'Final answers of jobs', labels: ['state', 'reason'] }),
  claims: counter({ name: 'hazellift_claims_total', help: 'Claims by outcome', labels: ['outcome'] }),
  cancelRetries: counter({ name: 'hazellift_cancel_retries_total', help: 'Requests to end a job that were repeated', labels: ['reason'] }),
  taskEnds: counter({ name: 'hazellift_task_ends_total', help: 'Ended starts', labels: ['outcome', 'reason'] }),
  wastedStarts: counter({ name: 'hazellift_wasted_starts_total', help: 'Starts sent again and results nobody waited for', labels: ['reason'] }),
  messages: counter({ name: 'hazellift_messages_total', help: 'Messages on sessions', labels: ['kind'] }),
  frames: counter({ name: 'hazellift_frames_total', help: 'Frames on sessions', labels: ['direction'] }),
  configChanges: counter({ name: 'hazellift_config_changes_total', help: 'Changes asked for', labels: ['outcome'] }),
  storeCalls: counter({ name: 'hazellift_store_calls_total', help: 'Calls of the platform', labels: ['call', 'outcome'] }),
  storeSeconds: histogram({
    name: 'hazellift_store_call_seconds', help: 'Time of calls of the platform', labels: ['call'], buckets: TIME_BUCKETS_SECONDS
  }),
  queueSeconds: histogram({ name: 'hazellift_queue_seconds', help: 'Time that tasks waited here', buckets: TIME_BUCKETS_SECONDS }),
  runSeconds: histogram({ name: 'hazellift_run_seconds', help: 'Run time of tasks', buckets: TIME_BUCKETS_SECONDS })
})

/** Counters and histograms of an entry. */
export type EntryMetrics = ReturnType<typeof createEntryMetrics>

// Checks the protocol models in model/ exhaustively with SPIN: each property must hold
// in the complete model and must fail when any one of its guards is removed.
import { execFile, execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { promisify } from 'node:util'

const run = promisify(execFile)
const PARALLEL_CHECKS = 3
const MEMORY_MB = 3000
const MAX_DEPTH = 1_000_000
const TIME_LIMIT_MS = 300_000
/** Of each of the two steps by which packages are installed; a registry may stall. */
const INSTALL_TIME_LIMIT_MS = 300_000

const define = (budget) => Object.entries(budget).map(([name, value]) => value === true ? `-D${name}` : `-D${name}=${value}`)

// Bounds small enough for an exhaustive search, each with the faults that its properties are about.
const NO_FAULTS = { MAX_CUTS: 0, MAX_DEATHS: 0, MAX_AGENT_DEATHS: 0, MAX_FORGETS: 0, MAX_LOST_ACKS: 0 }
const BOUNDS = {
  claims: { ...NO_FAULTS, NA: 1, MAX_NONCE: 2, MAX_DEATHS: 1, MAX_LOST_ACKS: 2 },
  takeovers: { ...NO_FAULTS, NA: 2, MAX_NONCE: 2, MAX_DEATHS: 1 },
  rivals: { ...NO_FAULTS, NA: 2, MAX_NONCE: 2, MAX_LOST_ACKS: 1 },
  released: { ...NO_FAULTS, NA: 1, MAX_NONCE: 3, MAX_LOST_ACKS: 1 },
  sessions: { ...NO_FAULTS, ONE_ENTRY: true, NA: 2, MAX_NONCE: 1, MAX_CUTS: 2, MAX_AGENT_DEATHS: 1, MAX_FORGETS: 1 },
  cutTakeover: { ...NO_FAULTS, NA: 2, MAX_NONCE: 2, MAX_CUTS: 1 },
  memory: { ...NO_FAULTS, NA: 1, MAX_NONCE: 2, MAX_FORGETS: 1, MAX_CUTS: 1 },
  wholeAnswer: { ...NO_FAULTS, NA: 1, NT: 2, MAX_NONCE: 2, MAX_DEATHS: 1 },
  config: {},
  keepers: {},
  reader: {},
  evacuations: {},
  outageEnds: { N: 2, MAX_ENDS: 2 },
  outageJoins: { N: 3, MAX_ENDS: 0 },
  leaseAgentDies: { NE: 1, MAX_DEATHS: 1, MAX_LATE: 1 },
  leaseLateOrders: { NE: 1, MAX_DEATHS: 0, MAX_LATE: 2 },
  leaseRestartLate: { NE: 1, MAX_DEATHS: 0, MAX_LATE: 1, MAX_RESTARTS: 1 },
  leaseRestartDies: { NE: 1, MAX_DEATHS: 1, MAX_LATE: 0, MAX_RESTARTS: 1 },
  leaseLeavesLate: { NE: 1, MAX_DEATHS: 0, MAX_LATE: 1, LEAVES: true, MAX_LEAVES: 1 },
  leaseLeavesDies: { NE: 1, MAX_DEATHS: 1, MAX_LATE: 0, LEAVES: true, MAX_LEAVES: 1 },
  leaseEntryDies: { NE: 2, MAX_DEATHS: 0, MAX_LATE: 0, PROMPT_FRAMES: true, OWN_AGENTS: true },
  leaseSuspended: { NE: 1, MAX_DEATHS: 0, MAX_LATE: 0, SUSPENSIONS: true, MAX_SUSPENSIONS: 2 },
  leaseSuspendedCutOff: { NE: 2, MAX_DEATHS: 0, MAX_LATE: 0, OWN_AGENTS: true, SUSPENSIONS: true, MAX_SUSPENSIONS: 2 },
  leaseSessions: { NE: 1, MAX_DEATHS: 0, MAX_LATE: 1, PROMPT_FRAMES: true, SESSIONS: true, MAX_SESSIONS: 2 },
  leaseCallerLeaves: { NE: 2, MAX_DEATHS: 0, MAX_LATE: 0, MAX_TIME: 7, OWN_AGENTS: true, SESSIONS: true, MAX_SESSIONS: 2 },
  leaseCallerLeavesFaults: { NE: 2, MAX_DEATHS: 1, MAX_LATE: 1, OWN_AGENTS: true, SESSIONS: true, MAX_SESSIONS: 2 },
  handOn: { NA: 1, LATE_ENTRIES: true },
  handOnLateAgents: { NA: 1, MAX_TIME: 5, LATE_ENTRIES: true, LATE_AGENTS: true }
}

const SUBMISSION = 'model/submission.pml'
const CONFIG = 'model/config.pml'
const KEEPERS = 'model/keepers.pml'
const READER = 'model/reader.pml'
const EVACUATION = 'model/evacuation.pml'
const OUTAGE = 'model/outage.pml'
const LEASE = 'model/lease.pml'
const HAND_ON = 'model/handoff.pml'

const PROPERTIES = [
  { file: SUBMISSION, budget: 'claims', property: 'no task starts twice, "not run" is true, one final answer: claims with lost acknowledgements, late writes and a crashed owner' },
  { file: SUBMISSION, budget: 'takeovers', property: 'the same with two agents, a crashed owner and takeovers from a live one' },
  { file: SUBMISSION, budget: 'released', property: 'the same with an abandoned claim that is written late and run by the other entry' },
  { file: SUBMISSION, budget: 'sessions', property: 'no task starts twice: broken sessions, an agent that crashes, an agent whose memory of submissions expires' },
  { file: SUBMISSION, budget: 'cutTakeover', property: 'the same with a broken session and takeovers from a live owner' },
  { file: SUBMISSION, budget: 'memory', property: 'no task starts at an agent that a takeover reached after the takeover was answered, however long a start is delayed' },
  { file: SUBMISSION, budget: 'wholeAnswer', property: 'an answer is complete or failed, with two tasks' },
  { file: CONFIG, budget: 'config', property: 'an accepted change never reverts, in the table or at an entry; the result returned to an operator is correct' },
  { file: KEEPERS, budget: 'keepers', property: 'an agent\'s document matches its version, and the document in force at an entry never reverts, with replicas and restarts' },
  { file: READER, budget: 'reader', property: 'a reader whose copy of the operator\'s rows is confirmed knows all rows up to the version from which it watches; no row reverts, no existing row is removed, and no stale list replaces a newer exact one' },
  { file: EVACUATION, budget: 'evacuations', property: 'a list of evacuated zones matches the store at its version, none reverts, and no start begins at an agent with an older list than the entry that sent it' },
  { file: OUTAGE, budget: 'outageEnds', property: '"not run" is true while the table is unreachable: entries stop, restart and join' },
  { file: OUTAGE, budget: 'outageJoins', property: 'the same with three entries that join' },
  { file: LEASE, budget: 'leaseAgentDies', property: 'no two runs of a task overlap: an agent that crashes or is suspended, with an order that is executed late' },
  { file: LEASE, budget: 'leaseLateOrders', property: 'the same with two orders that are executed late' },
  { file: LEASE, budget: 'leaseRestartLate', property: 'the same with an endpoint that restarts under its id, and a late order' },
  { file: LEASE, budget: 'leaseRestartDies', property: 'the same with an endpoint that restarts under its id, and an agent that crashes' },
  { file: LEASE, budget: 'leaseLeavesLate', property: 'the same with an endpoint that announces its end and ends later, and an order that is executed late' },
  { file: LEASE, budget: 'leaseLeavesDies', property: 'the same with an endpoint that announces its end and ends later, and an agent that crashes' },
  { file: LEASE, budget: 'leaseEntryDies', property: 'the same with an entry that crashes and a job that is submitted again' },
  { file: LEASE, budget: 'leaseSuspended', property: 'the same with agents and an entry that are suspended, alone, together or one after the other' },
  { file: LEASE, budget: 'leaseSuspendedCutOff', property: 'the same with an entry that is suspended, with or without its agent, and a caller that is disconnected meanwhile and submits again' },
  { file: LEASE, budget: 'leaseSessions', property: 'the same with sessions that break and begin again, and an order that is executed late' },
  { file: LEASE, budget: 'leaseCallerLeaves', property: 'the same with a caller that leaves a live entry and submits again, while sessions break and revokes are lost with them' },
  { file: LEASE, budget: 'leaseCallerLeavesFaults', property: 'the same with an agent that crashes, and an order that is executed late' },
  { file: HAND_ON, budget: 'handOn', property: 'the same with a job that was handed on: either entry crashes, becomes silent, loses one direction of the network or is suspended, and withdrawals cross the first start' },
  { file: HAND_ON, budget: 'handOnLateAgents', property: 'the same with late frames from agents' }
]

const REMOVED_GUARDS = [
  { file: SUBMISSION, budget: 'rivals', guard: 'NO_CONDITION', without: 'the claim\'s condition (insert if absent)' },
  { file: SUBMISSION, budget: 'rivals', guard: 'NO_WAIT_FOR_OUTCOME', without: 'waiting for the claim\'s outcome before a start' },
  { file: SUBMISSION, budget: 'claims', guard: 'NO_RELEASE', without: 'abandoning the claim permanently once "not run" was answered' },
  { file: SUBMISSION, budget: 'takeovers', guard: 'NO_COLLECT_ONLY', without: 'the rule that a takeover starts nothing' },
  { file: SUBMISSION, budget: 'takeovers', guard: 'NO_COMMIT_BEFORE_TELLING', without: 'committing the final state before it is reported' },
  { file: SUBMISSION, budget: 'takeovers', guard: 'NO_COLLECT_REVOKES', without: 'the revoke that accompanies a collect' },
  { file: SUBMISSION, budget: 'sessions', guard: 'NO_SESSION_FENCE', without: 'the fence between sessions of the same agent and entry' },
  { file: SUBMISSION, budget: 'sessions', guard: 'NO_HELD_CHECK', without: 'the proof that a start was not accepted' },
  { file: SUBMISSION, budget: 'sessions', guard: 'NO_INCARNATION', without: 'the agent\'s incarnation' },
  { file: SUBMISSION, budget: 'sessions', guard: 'NO_RESUME_WINDOW', without: 'the resume window, shorter than the agent\'s memory' },
  { file: SUBMISSION, budget: 'memory', guard: 'NO_STAMP_CHECK', without: 'the bound on a start\'s timestamp' },
  { file: SUBMISSION, budget: 'memory', guard: 'NO_KEEP_REVOKES', without: 'keeping a revoke until the claim\'s deadline' },
  { file: SUBMISSION, budget: 'wholeAnswer', guard: 'NO_WHOLE_ANSWER', without: 'waiting for all tasks' },
  { file: CONFIG, budget: 'config', guard: 'NO_HEAD_CONDITION', without: 'the condition on the head\'s version' },
  { file: CONFIG, budget: 'config', guard: 'NO_HISTORY_CHECK', without: 'reading the history after a lost acknowledgement' },
  { file: CONFIG, budget: 'config', guard: 'NO_HIGHER_ONLY', without: 'applying higher versions only' },
  { file: CONFIG, budget: 'config', guard: 'NO_READ_BEFORE_READY', without: 'reading the configuration before serving' },
  { file: KEEPERS, budget: 'keepers', guard: 'NO_FILLED_AS_IT_LEAVES', without: 'filling in the document together with its version when the frame is sent' },
  { file: KEEPERS, budget: 'keepers', guard: 'NO_NEWER_ONLY', without: 'accepting only newer documents from agents' },
  { file: READER, budget: 'reader', guard: 'NO_NEWER_ONLY', without: 'accepting rows only at higher versions' },
  { file: READER, budget: 'reader', guard: 'NO_DOUBT_OF_READS', without: 'treating rows as unconfirmed after a read' },
  { file: READER, budget: 'reader', guard: 'NO_DOUBT_OF_SILENCE', without: 'treating rows as unconfirmed after a watch that reported a higher version without rows' },
  { file: READER, budget: 'reader', guard: 'NO_CONDITIONS', without: 'confirming by conditions instead of an immediate second read' },
  { file: READER, budget: 'reader', guard: 'NO_PROOF_OF_REMOVAL', without: 'the proof that a row which a read does not show is removed' },
  { file: READER, budget: 'reader', guard: 'NO_SECOND_CONDITION', without: 'the condition that a row does not exist, once a read does not show it' },
  { file: READER, budget: 'reader', guard: 'NO_CLAIM_OF_ITS_OWN', without: 'the lower version of a list that may be stale' },
  { file: READER, budget: 'reader', guard: 'NO_GAP_CLAIM', without: 'the bound of such a version where changes may be missing before the newest one' },
  { file: READER, budget: 'reader', guard: 'NO_MISSING_CHECK', without: 'the same bound where a read lacks a row that is known' },
  { file: EVACUATION, budget: 'evacuations', guard: 'NO_NEWER_ONLY', without: 'accepting only newer lists' },
  { file: EVACUATION, budget: 'evacuations', guard: 'NO_VERSION_OF_ITS_OWN', without: 'sending the list with the version at which it was read' },
  { file: EVACUATION, budget: 'evacuations', guard: 'NO_LIST_WITH_STARTS', without: 'the list in the frame with the starts that were placed by it' },
  { file: EVACUATION, budget: 'evacuations', guard: 'NO_OWN_CHECK', without: 'the agent\'s own check before a start' },
  { file: EVACUATION, budget: 'evacuations', guard: 'NO_FORGET_WITH_SESSION', without: 'forgetting which list an agent has when its session ends' },
  { file: OUTAGE, budget: 'outageEnds', guard: 'NO_END_SEEN', without: 'treating the view as unconfirmed after an entry has ended' },
  { file: OUTAGE, budget: 'outageEnds', guard: 'NO_INCARNATION', without: 'the incarnation of the process that answers' },
  { file: OUTAGE, budget: 'outageJoins', guard: 'NO_ANNOUNCEMENT', without: 'the announcement before the first claim' },
  { file: OUTAGE, budget: 'outageJoins', guard: 'NO_READ_AFTER_ROW', without: 'reading the rows after writing its own row' },
  { file: OUTAGE, budget: 'outageJoins', guard: 'NO_FRESH_VIEW', without: 'the bound on the view\'s age' },
  { file: OUTAGE, budget: 'outageJoins', guard: 'NO_ANNOUNCED_ONLY', without: 'being announced before answering "not run"' },
  { file: OUTAGE, budget: 'outageJoins', guard: 'NO_VIEW_WITH_LIST', without: 'checking the view at the time when the list of entries is taken from it' },
  { file: LEASE, budget: 'leaseAgentDies', guard: 'NO_FENCE', without: 'the fence against an earlier agent\'s orders' },
  { file: LEASE, budget: 'leaseAgentDies', guard: 'NO_JOIN', without: 'stopping the runs that an earlier agent left' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_LATE_CHECK', without: 'the endpoint\'s check of an order\'s expiry' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_STOP_PROOF', without: 'the stop that voids an unanswered order' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_RUN_NUMBER', without: 'the run\'s number, the same for an order that is repeated' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_REPEAT_CHECK', without: 'the check of the entry lease before an order is repeated' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_PROOF_BY_TIME', without: 'the wait until an agent\'s orders are confirmed terminated' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_START_CHECK', without: 'the agent\'s check of the entry lease before a start' },
  { file: LEASE, budget: 'leaseLateOrders', guard: 'NO_ORDERED_STREAM', without: 'orders and echoes on one stream' },
  { file: LEASE, budget: 'leaseRestartLate', guard: 'NO_LIFE_CHECK', without: 'the proof that a connection leads to the endpoint incarnation that the order is for' },
  { file: LEASE, budget: 'leaseLeavesLate', guard: 'NO_END_PROOF', without: 'the proof that the runs of an endpoint that announces its end have terminated' },
  { file: LEASE, budget: 'leaseLeavesLate', guard: 'NO_UNANSWERED_LEASE', without: 'counting the lease of an order without an answer in that proof' },
  { file: LEASE, budget: 'leaseLeavesDies', guard: 'NO_ADDRESS_CHECK', without: 'the rule that an agent\'s report of an endpoint ends only the runs at its address' },
  { file: LEASE, budget: 'leaseEntryDies', guard: 'NO_ECHO_STAMP', without: 'counting the entry lease from the timestamp instead of from the echo' },
  { file: LEASE, budget: 'leaseEntryDies', guard: 'NO_LAPSE_BEFORE_HOLD', without: 'stopping runs without an entry lease before run leases are renewed' },
  { file: LEASE, budget: 'leaseEntryDies', guard: 'NO_RESEND_GAP', without: 'the minimum time before a caller submits again' },
  { file: LEASE, budget: 'leaseSuspended', guard: 'NO_AGENT_WATCH', without: 'the agent\'s check for time that its steady clock has not counted' },
  { file: LEASE, budget: 'leaseSuspended', guard: 'NO_LATER_STAMP', without: 'the rule that only a later timestamp verifies an unverified lease' },
  { file: LEASE, budget: 'leaseSuspended', guard: 'NO_HOLD_CHECK', without: 'renewing no run lease while the entry lease is unverified' },
  { file: LEASE, budget: 'leaseSuspendedCutOff', guard: 'NO_ENTRY_WATCH', without: 'the end of an entry\'s sessions after a suspension' },
  { file: LEASE, budget: 'leaseSessions', guard: 'NO_SESSION_FENCE', without: 'the rule that frames of an earlier session are not read once a new one has begun' },
  { file: LEASE, budget: 'leaseSessions', guard: 'NO_START_AFTER_LIST', without: 'sending starts only after the agent\'s list was received' },
  { file: LEASE, budget: 'leaseSessions', guard: 'NO_OUTDATED_HELLO', without: 'the rejection of an earlier session that opens after a later one' },
  { file: LEASE, budget: 'leaseSessions', guard: 'NO_UNANSWERED_LISTED', without: 'listing starts that the endpoint has not answered' },
  { file: LEASE, budget: 'leaseCallerLeaves', guard: 'NO_RECONCILE', without: 'revoking, on a new session, listed runs that are not wanted' },
  { file: LEASE, budget: 'leaseCallerLeaves', guard: 'NO_ECHO_AFTER_LIST', without: 'echoing timestamps only after the agent\'s list was received' },
  { file: LEASE, budget: 'leaseCallerLeaves', guard: 'NO_REVOKE', without: 'the revoke on the session that is open when the caller leaves' },
  { file: LEASE, budget: 'leaseCallerLeaves', guard: 'NO_REVOKE_ORDER', without: 'revokes and echoes on one stream' },
  { file: LEASE, budget: 'leaseCallerLeaves', guard: 'NO_PROMPT_LEAVE', without: 'learning at once that the caller has left' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_HOLD_BACK', without: 'limiting echoes to agents that run jobs of another entry' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_START_BOUND', without: 'the rule that such a start goes only to agents to which no later timestamp was echoed' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_START_CHECK', without: 'the agent\'s check of the entry lease before such a start' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_ECHO_STAMP', without: 'counting the origin entry as alive from the timestamp instead of from its echo' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_CLOSE', without: 'sending no more echoes on a stream that was closed or timed out' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_OVER_PROOF', without: 'the proof that a withdrawn job\'s starts are terminated' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_PROOF_BY_TIME', without: 'the wait until a lost entry\'s starts are confirmed terminated' },
  { file: HAND_ON, budget: 'handOn', guard: 'NO_RESEND_GAP', without: 'the minimum time before a caller submits again after its entry crashed' }
]

const hasSpin = () => {
  try {
    execFileSync('spin', ['-V'], { stdio: 'ignore' })
    execFileSync('gcc', ['--version'], { stdio: 'ignore' })
    return true
  } catch {
    return false
  }
}

const installSpin = () => {
  console.log('installing spin and gcc')
  execFileSync('apt-get', ['update', '-q'], { stdio: 'ignore', timeout: INSTALL_TIME_LIMIT_MS })
  execFileSync('apt-get', ['install', '-y', '-q', 'spin', 'gcc', 'libc6-dev'], { stdio: 'inherit', timeout: INSTALL_TIME_LIMIT_MS })
}

/** Explores all states of a model; returns their number and the number of assertions that failed. */
const exploreStates = async ({ file, budget, guard }) => {
  const folder = mkdtempSync(join(tmpdir(), 'hazellift-model-'))
  try {
    const defines = [...define(BOUNDS[budget]), ...(guard === undefined ? [] : [`-D${guard}`])]
    await run('spin', [...defines, '-a', resolve(file)], { cwd: folder })
    await run('gcc', ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', `-DMEMLIM=${MEMORY_MB}`, '-o', 'pan', 'pan.c'], { cwd: folder })
    const { stdout } = await run('./pan', ['-E', `-m${MAX_DEPTH}`], { cwd: folder, timeout: TIME_LIMIT_MS })
    const errors = Number(/errors: (\d+)/.exec(stdout)?.[1])
    const states = Number(/(\d+) states, stored/.exec(stdout)?.[1])
    const isComplete = !/Search not completed|max search depth too small|out of memory/.test(stdout)
    return { errors, states, isComplete, detail: /pan:1: (.*) \(at/.exec(stdout)?.[1] ?? '' }
  } finally {
    rmSync(folder, { recursive: true })
  }
}

const evaluate = (check, { errors, states, isComplete, detail }) => {
  if (check.guard === undefined) {
    return { isPassed: errors === 0 && isComplete, line: `${check.file} ${check.budget}: ${check.property}`, states, detail }
  }
  return { isPassed: errors > 0, line: `${check.file} ${check.budget}: fails without ${check.without}`, states, detail }
}

const runChecks = async (checks) => {
  const pending = [...checks]
  let failed = 0
  const runPending = async () => {
    for (let check = pending.shift(); check !== undefined; check = pending.shift()) {
      const { isPassed, line, states, detail } = evaluate(check, await exploreStates(check))
      if (!isPassed) failed++
      console.log(`${isPassed ? 'ok  ' : 'FAIL'} ${line} (${states} states${detail === '' ? '' : `; ${detail}`})`)
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_CHECKS }, runPending))
  return failed
}

if (!hasSpin()) installSpin()
const checks = [...PROPERTIES, ...REMOVED_GUARDS]
const failed = await runChecks(checks)
console.log(`model: ${checks.length - failed} passed, ${failed} failed`)
process.exitCode = failed > 0 ? 1 : 0

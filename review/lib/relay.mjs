// Starts the project's program as the deploy file says, with a settings file of a small deployment.
import { spawn } from 'node:child_process';
import {
  mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath, URL } from 'node:url';
import { until } from './base.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

function runCommand() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(deploy);
  return run.split(' ');
}

const folder = mkdtempSync(join(tmpdir(), 'review-'));
const children = new Set();
process.once('exit', () => {
  children.forEach((child) => child.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
});

// A case that is stopped from outside ends its processes too.
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) => process.once(name, () => process.exit(2)));

export class Relay {
  constructor({
    name, ip, zone, seeds, store, ports,
  }) {
    Object.assign(this, {
      name, ip, zone, ports,
    });
    this.file = join(folder, `${name}.conf`);
    this.logFile = join(folder, `${name}.log`);
    writeFileSync(this.file, [
      `NodeName=${name}`,
      'Role=relay',
      'MachineClass=front',
      'Serves=front,control',
      `Ip=${ip}`,
      `Zone=${zone}`,
      'Region=r',
      `Listen.Front=${ip}:${ports.front}`,
      `Listen.Ready=${ip}:${ports.ready}`,
      `Listen.Control=${ip}:${ports.control}`,
      `PortRange=${ports.first},${ports.last}`,
      `Seeds=${seeds.map((seed) => `${seed}:${ports.control}`).join(',')}`,
      'Bootstrap=true',
      'Discovery=platform',
      'Entry=vip',
      'HeartbeatMs=1200',
      'Bounds.ReuseAfterS=2',
      'Bounds.ContactMs=3000',
      'Bounds.DrainMs=2000',
      'Bounds.GraceS=8',
      'Bounds.LossSlackMs=200',
      'Bounds.ConfigMs=2000',
      'Bounds.RollbackSlackMs=250',
      'Bounds.RetryBudgetRatio=0.8',
      'Bounds.BudgetWindowS=10',
      'Bounds.BudgetSlack=150',
      'Bounds.RecoveryS=12',
      `Platform.Address=${store}`,
      'Platform.form=objects',
      'Platform.WritesPerS=400',
      'Platform.ReadsPerS=2000',
      'Platform.HistoryS=20',
      'Platform.ValueBytes=1048576',
      '',
    ].join('\n'));
  }

  start() {
    const [command, ...args] = runCommand();
    const out = openSync(this.logFile, 'a');
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH ?? '', SHALLOTSHUNT_SETTINGS: this.file },
      stdio: ['ignore', out, out],
    });
    this.child = child;
    this.exit = undefined;
    children.add(child);
    child.once('exit', (code, signal) => {
      this.exit = { code, signal };
      children.delete(child);
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  log() {
    return readFileSync(this.logFile, 'utf8').split('\n');
  }

  /** Asks as the platform's balancer does. */
  isReady() {
    return new Promise((resolve) => {
      const options = {
        host: this.ip, port: this.ports.ready, path: '/ready', agent: false, timeout: 1_000,
      };
      get(options, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      }).on('error', () => resolve(false)).on('timeout', () => resolve(false));
    });
  }

  untilReady() {
    return until(() => this.isReady());
  }
}

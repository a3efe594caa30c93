#!/usr/bin/env node
import process from 'node:process';
import {runCommandLine} from '../dist/index.js';

process.exitCode = await runCommandLine(process.argv.slice(2));

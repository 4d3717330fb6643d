package main

// This file owns the settings that the orchestrators under test are told.

// almatySettings are those of the example in the wire page, as nested JSON.
const almatySettings = `{"Callers":{"MarksRetry":false},"Discovery":"subscribe","FamilyInfo":{"ApartBy":["none","none","none"],"Bound":false,
"CalmLevel":[0.8,0.8,0.8],"CheckAfterUs":3000000,"ClassMost":[2,2,2],"ClassPriority":[0,0,0],"ClassStartS":[10.0,10.0,8.0],
"CoresMultiple":1.0,"Counts":"asked","EvictWeight":2.0,"FreshOffers":56.0,"KindByClass":[-1,-1,-1],"LostAfter":[0.25,0.15,0.15],
"MakesRoom":false,"MemoryByKind":[56.0,117.0],"MemoryMultiple":1.0,"PressureNotes":true,"RefusedPrice":0.02,"SaysUse":true,
"SaysYes":"accepted","ShareCores":[],"SizeCores":[26,63],"UnitCores":1.05,"UnitMemory":2.13,"View":true},
"Flavors":["node-32","node-64"],"FleetSize":3,"Limits":{"AttemptsCap":3,"Cancel":true,"ConnIdleUs":30000000,"CpuUsPerRequest":0.0,
"CpuUsPerS":500000,"DialTimeoutUs":250000,"MaxOpen":1000000,"MaxRetryAfterUs":3000000,"Multiplex":1048576,"Peers":false,"Probes":true,
"RetryAfter":true,"SecondCopies":false},"OverShareWorth":0.1,"Parties":[],"Prices":{"Connection":0.0,"CrossZone":0.03,
"Discovery":0.004,"Fleet":0.25,"Handshake":0.0,"LateFail":0.0,"Moves":0.1,"Origin":0.0,"Peer":0.0,"Probe":0.003,"Waste":0.16},
"Report":{"Fields":["x0","x1"],"How":"answers"},"RequestClasses":[
{"DeadlineUs":6000000,"Group":"all","Importance":1.0,"LateWorth":0.1,"Name":"guide-web","OnTimeUs":1000000,"RunsOn":true,"Semantics":"free","WindowUs":5000000},
{"DeadlineUs":5000000,"Group":"all","Importance":3.0,"LateWorth":0.1,"Name":"live-relay","OnTimeUs":700000,"RunsOn":true,"Semantics":"free","WindowUs":5000000},
{"DeadlineUs":10000000,"Group":"all","Importance":5.0,"LateWorth":0.2,"Name":"archive-cut","OnTimeUs":6000000,"RunsOn":true,"Semantics":"single_shot","WindowUs":5000000}],
"Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,"ColdUs":16000000,"DrainGraceUs":2000000,"FallMultiple":4.0,"OverloadForUs":3000000},
"ScoringMix":{"Whole":0.55,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.25},"SelfIndex":0,"ServiceType":"place","TickUs":2000,
"Tier":0,"Tiers":["efir-fleet"],"ValueBy":"work","WeightKind":"none","Zone":"hall-a","Zones":["hall-a","hall-b","hall-c"]}`

// songHongSettings are those that the page of the second deployment describes, in the same form.
const songHongSettings = `{"Callers":{"MarksRetry":true},"Discovery":"subscribe","FamilyInfo":{"ApartBy":["none","none"],"Bound":false,
"CalmLevel":[0.8,0.8],"CheckAfterUs":3000000,"ClassMost":[2,2],"ClassPriority":[0,1],"ClassStartS":[8.0,8.0],
"CoresMultiple":1.0,"Counts":"asked","EvictWeight":2.0,"FreshOffers":40.0,"KindByClass":[-1,-1],"LostAfter":[0.2,0.2],
"MakesRoom":false,"MemoryByKind":[120.0],"MemoryMultiple":1.0,"PressureNotes":false,"RefusedPrice":0.02,"SaysUse":false,
"SaysYes":"accepted","ShareCores":[],"SizeCores":[56],"UnitCores":1.05,"UnitMemory":2.13,"View":true},
"Flavors":["std-node"],"FleetSize":2,"Limits":{"AttemptsCap":4,"Cancel":true,"ConnIdleUs":30000000,"CpuUsPerRequest":0.0,
"CpuUsPerS":500000,"DialTimeoutUs":250000,"MaxOpen":1000000,"MaxRetryAfterUs":3000000,"Multiplex":1048576,"Peers":false,"Probes":true,
"RetryAfter":true,"SecondCopies":false},"OverShareWorth":0.1,"Parties":[],"Prices":{"Connection":0.0,"CrossZone":0.03,
"Discovery":0.004,"Fleet":0.2,"Handshake":0.0,"LateFail":0.0,"Moves":0.11,"Origin":0.0,"Peer":0.0,"Probe":0.0044,"Waste":0.059},
"Report":{"Fields":["x0","x1"],"How":"probe"},"RequestClasses":[
{"DeadlineUs":5000000,"Group":"all","Importance":1.0,"LateWorth":0.1,"Name":"web-small","OnTimeUs":800000,"RunsOn":true,"Semantics":"free","WindowUs":8000000},
{"DeadlineUs":9000000,"Group":"zone","Importance":3.0,"LateWorth":0.2,"Name":"batch-keyed","OnTimeUs":5000000,"RunsOn":true,"Semantics":"guarded","WindowUs":8000000}],
"Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,"ColdUs":17000000,"DrainGraceUs":2000000,"FallMultiple":2.5,"OverloadForUs":3000000},
"ScoringMix":{"Whole":0.3,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.4},"SelfIndex":0,"ServiceType":"place","TickUs":2000,
"Tier":0,"Tiers":["rooms"],"ValueBy":"work","WeightKind":"none","Zone":"room-a","Zones":["room-a","room-b"]}`

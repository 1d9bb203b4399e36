import { SimSuite } from "./simSuite";

SimSuite.part(3, 7);
